// Validates a configuration.
#include "validate.h"

#include <agatespar/config/patch.h>

#include <cmath>
#include <string>

namespace agatespar {

// Shares are decimal fractions in patches, so their sum may differ from 1 by rounding errors.
static constexpr double share_tolerance = 1e-6;

static tl::unexpected<error> invalid(const std::string& item, const std::string& reason)
{
    return failure(error_code::invalid_argument, item + ": " + reason);
}

static outcome<void> validate_version(const model_id& id, const model_settings& model, const version_name& name,
                                      const version_settings& version)
{
    const std::string item = "version " + to_string(version_id{id, name});
    if (version.state == version_state::serving && version.successor) {
        return invalid(item, "a serving version has no successor");
    }
    if (version.state == version_state::withdrawn && version.share != 0.0) {
        return invalid(item, "a withdrawn version has no share");
    }
    if (!version.successor) {
        return {};
    }
    if (!model.versions.contains(*version.successor)) {
        return invalid(item, "the successor " + version.successor->value() + " is not a version of the model");
    }
    version_name next = *version.successor;
    for (std::size_t step = 0; step < model.versions.size(); ++step) {
        const version_settings& settings = model.versions.at(next);
        if (settings.state == version_state::serving || !settings.successor) {
            return {};
        }
        next = *settings.successor;
        if (!model.versions.contains(next)) {
            return {};
        }
    }
    return invalid(item, "the successors form a circle");
}

static outcome<void> validate_model(const model_id& id, const model_settings& model)
{
    double sum = 0.0;
    bool serving = false;
    for (const auto& [name, version] : model.versions) {
        if (outcome<void> checked = validate_version(id, model, name, version); !checked) {
            return checked;
        }
        serving = serving || version.state == version_state::serving;
        sum += version.share;
    }
    if (!serving) {
        return invalid("model " + to_string(id), "no version is left that serves");
    }
    if (std::abs(sum - 1.0) > share_tolerance) {
        return invalid("model " + to_string(id), "the shares add up to " + std::to_string(sum) + " instead of 1");
    }
    return {};
}

static outcome<void> validate_service(const fleet_settings& fleet, const service_id& id,
                                      const service_settings& service)
{
    const std::string item = "service " + to_string(id);
    const bool chat = service.kind == service_kind::chat;
    if (chat && (service.models.empty() || !service.methods.empty())) {
        return invalid(item, "a chat service has models and no methods");
    }
    if (!chat && (service.methods.empty() || !service.models.empty())) {
        return invalid(item, "a plain service has methods and no models");
    }
    for (const model_name& model : service.models) {
        if (!fleet.models.contains(model)) {
            return invalid(item, "the model " + model.value() + " is unknown in the fleet");
        }
    }
    if (service.default_class && !fleet.classes.contains(*service.default_class)) {
        return invalid(item, "the class " + service.default_class->value() + " is unknown in the fleet");
    }
    return {};
}

static outcome<void> validate_account(const fleet_settings& fleet, const client_account_id& id,
                                      const client_account_settings& account)
{
    const std::string item = "account " + to_string(id);
    for (const key_hash& hash : account.key_hashes) {
        if (!is_key_hash(hash.value())) {
            return invalid(item, "a key hash is not " + std::to_string(key_hash_digits) + " hexadecimal digits");
        }
    }
    for (const auto& [model, versions] : account.models) {
        const auto known = fleet.models.find(model);
        if (known == fleet.models.end()) {
            return invalid(item, "the model " + model.value() + " is unknown in the fleet");
        }
        for (const version_name& version : versions) {
            if (!known->second.versions.contains(version)) {
                return invalid(item, "the version " + model.value() + "@" + version.value() + " is unknown");
            }
        }
    }
    for (const service_name& service : account.services) {
        if (!fleet.services.contains(service)) {
            return invalid(item, "the service " + service.value() + " is unknown in the fleet");
        }
    }
    return {};
}

// Calls check(id, settings) for each item until one fails.
template <class Map, class Check>
static outcome<void> validate_each(const fleet_name& fleet, const Map& items, const Check& check)
{
    for (const auto& [name, settings] : items) {
        outcome<void> checked = check(qualified<typename Map::key_type>{fleet, name}, settings);
        if (!checked) {
            return checked;
        }
    }
    return {};
}

static outcome<void> validate_fleet(const fleet_name& name, const fleet_settings& fleet)
{
    return validate_each(name, fleet.models, validate_model)
        .and_then([&] {
            return validate_each(name, fleet.services, [&](const service_id& id, const service_settings& service) {
                return validate_service(fleet, id, service);
            });
        })
        .and_then([&] {
            return validate_each(name, fleet.accounts,
                                 [&](const client_account_id& id, const client_account_settings& account) {
                                     return validate_account(fleet, id, account);
                                 });
        });
}

// Checks that no key belongs to two accounts, which would make the caller's fleet ambiguous.
static outcome<void> validate_credentials(const configuration& config)
{
    std::map<key_hash, client_account_id> owners;
    for (const auto& [name, fleet] : config.fleets) {
        for (const auto& [account, settings] : fleet.accounts) {
            for (const key_hash& hash : settings.key_hashes) {
                const auto [owner, inserted] = owners.emplace(hash, client_account_id{name, account});
                if (!inserted) {
                    return invalid("account " + to_string(client_account_id{name, account}),
                                   "a key belongs to account " + to_string(owner->second) + " already");
                }
            }
        }
    }
    return {};
}

static std::size_t count_items(const fleet_settings& fleet)
{
    std::size_t count = 1 + fleet.zones.size() + fleet.models.size() + fleet.classes.size();
    for (const auto& [name, model] : fleet.models) {
        count += model.versions.size();
    }
    for (const auto& [name, service] : fleet.services) {
        count += 1 + service.models.size() + service.methods.size();
    }
    for (const auto& [name, account] : fleet.accounts) {
        count += 1 + account.key_hashes.size() + account.models.size() + account.services.size();
        for (const auto& [model, versions] : account.models) {
            count += versions.size();
        }
    }
    return count;
}

static outcome<void> validate_size(const configuration& config)
{
    std::size_t count = 0;
    for (const auto& [name, fleet] : config.fleets) {
        count += count_items(fleet);
    }
    if (count > max_config_items) {
        return invalid("configuration",
                       "has " + std::to_string(count) + " items, more than " + std::to_string(max_config_items));
    }
    return {};
}

outcome<void> validate(const configuration& config)
{
    if (outcome<void> checked = validate_size(config); !checked) {
        return checked;
    }
    for (const auto& [name, fleet] : config.fleets) {
        if (outcome<void> checked = validate_fleet(name, fleet); !checked) {
            return checked;
        }
    }
    return validate_credentials(config);
}

void index_accounts(configuration& config)
{
    config.accounts_by_key_hash.clear();
    for (const auto& [name, fleet] : config.fleets) {
        for (const auto& [account, settings] : fleet.accounts) {
            for (const key_hash& hash : settings.key_hashes) {
                config.accounts_by_key_hash.emplace(hash, client_account_id{name, account});
            }
        }
    }
}

} // namespace agatespar
