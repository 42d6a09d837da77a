// Applies the operations of a patch to a configuration.
#include "validate.h"

#include <agatespar/config/patch.h>

#include <string>

namespace agatespar {

static tl::unexpected<error> unknown(const std::string& item)
{
    return failure(error_code::invalid_argument, item + " is unknown");
}

static outcome<fleet_settings*> fleet_of(configuration& config, const fleet_name& name)
{
    const auto found = config.fleets.find(name);
    if (found == config.fleets.end()) {
        return unknown("fleet " + name.value());
    }
    return &found->second;
}

// Returns the map of a fleet's items of one kind.
static auto& items_of(fleet_settings& fleet, const zone_name&)
{
    return fleet.zones;
}
static auto& items_of(fleet_settings& fleet, const model_name&)
{
    return fleet.models;
}
static auto& items_of(fleet_settings& fleet, const request_class_name&)
{
    return fleet.classes;
}
static auto& items_of(fleet_settings& fleet, const service_name&)
{
    return fleet.services;
}
static auto& items_of(fleet_settings& fleet, const client_account_name&)
{
    return fleet.accounts;
}

static outcome<model_settings*> model_of(configuration& config, const model_id& id)
{
    const outcome<fleet_settings*> fleet = fleet_of(config, id.fleet);
    if (!fleet) {
        return tl::make_unexpected(fleet.error());
    }
    const auto found = (*fleet)->models.find(id.name);
    if (found == (*fleet)->models.end()) {
        return unknown("model " + to_string(id));
    }
    return &found->second;
}

static outcome<void> apply(configuration& config, const put_fleet& operation)
{
    config.fleets[operation.fleet].weights = operation.weights;
    return {};
}

static outcome<void> apply(configuration& config, const remove_fleet& operation)
{
    const outcome<fleet_settings*> fleet = fleet_of(config, operation.fleet);
    if (!fleet) {
        return tl::make_unexpected(fleet.error());
    }
    fleet_settings empty;
    empty.weights = (*fleet)->weights;
    if (**fleet != empty) {
        return failure(error_code::invalid_argument, "fleet " + operation.fleet.value() + " is not empty");
    }
    config.fleets.erase(operation.fleet);
    return {};
}

template <class Name, class Settings>
static outcome<void> apply(configuration& config, const put_item<Name, Settings>& operation)
{
    return fleet_of(config, operation.id.fleet).map([&](fleet_settings* fleet) {
        items_of(*fleet, operation.id.name).insert_or_assign(operation.id.name, operation.settings);
    });
}

template <class Name>
static outcome<void> apply(configuration& config, const remove_item<Name>& operation)
{
    const outcome<fleet_settings*> fleet = fleet_of(config, operation.id.fleet);
    if (!fleet) {
        return tl::make_unexpected(fleet.error());
    }
    if (items_of(**fleet, operation.id.name).erase(operation.id.name) == 0) {
        return unknown(to_string(operation.id));
    }
    return {};
}

static outcome<void> apply(configuration& config, const set_zone_in_service& operation)
{
    const outcome<fleet_settings*> fleet = fleet_of(config, operation.id.fleet);
    if (!fleet) {
        return tl::make_unexpected(fleet.error());
    }
    const auto zone = (*fleet)->zones.find(operation.id.name);
    if (zone == (*fleet)->zones.end()) {
        return unknown("zone " + to_string(operation.id));
    }
    zone->second.in_service = operation.in_service;
    return {};
}

static outcome<void> apply(configuration& config, const put_version& operation)
{
    return model_of(config, operation.id.model).map([&](model_settings* model) {
        model->versions.insert_or_assign(operation.id.version, operation.settings);
    });
}

static outcome<void> apply(configuration& config, const remove_version& operation)
{
    const outcome<model_settings*> model = model_of(config, operation.id.model);
    if (!model) {
        return tl::make_unexpected(model.error());
    }
    const auto found = (*model)->versions.find(operation.id.version);
    if (found == (*model)->versions.end()) {
        return unknown("version " + to_string(operation.id));
    }
    if (found->second.state != version_state::withdrawn) {
        return failure(error_code::invalid_argument,
                       "version " + to_string(operation.id) + " has to be withdrawn before it is removed");
    }
    (*model)->versions.erase(found);
    return {};
}

static outcome<void> apply(configuration& config, const set_shares& operation)
{
    const outcome<model_settings*> model = model_of(config, operation.id);
    if (!model) {
        return tl::make_unexpected(model.error());
    }
    for (auto& [name, version] : (*model)->versions) {
        version.share = 0.0;
    }
    for (const auto& [name, share] : operation.shares) {
        const auto version = (*model)->versions.find(name);
        if (version == (*model)->versions.end()) {
            return unknown("version " + to_string(version_id{operation.id, name}));
        }
        version->second.share = share;
    }
    return {};
}

// Distributes the share of a withdrawn version over the other serving versions, in proportion to their shares.
static outcome<void> redistribute_share(model_settings& model, const version_id& withdrawn, double share)
{
    double others = 0.0;
    for (const auto& [name, version] : model.versions) {
        others += version.share;
    }
    if (share > 0.0 && others <= 0.0) {
        return failure(error_code::invalid_argument, "version " + to_string(withdrawn) +
                                                         " has the whole share of its model: name a successor that "
                                                         "serves, or set the shares first");
    }
    for (auto& [name, version] : model.versions) {
        version.share += others > 0.0 ? share * version.share / others : 0.0;
    }
    return {};
}

static outcome<void> apply(configuration& config, const withdraw_version& operation)
{
    const outcome<model_settings*> model = model_of(config, operation.id.model);
    if (!model) {
        return tl::make_unexpected(model.error());
    }
    auto& versions = (*model)->versions;
    const auto version = versions.find(operation.id.version);
    if (version == versions.end()) {
        return unknown("version " + to_string(operation.id));
    }
    if (version->second.state == version_state::withdrawn && !operation.successor) {
        return failure(error_code::invalid_argument, "version " + to_string(operation.id) + " is withdrawn already");
    }
    const double share = std::exchange(version->second.share, 0.0);
    version->second.state = version_state::withdrawn;
    version->second.successor = operation.successor;
    if (!operation.successor) {
        return redistribute_share(**model, operation.id, share);
    }
    const auto successor = versions.find(*operation.successor);
    if (successor == versions.end() || successor->second.state != version_state::serving) {
        return failure(error_code::invalid_argument,
                       "the successor of version " + to_string(operation.id) + " has to be a serving version");
    }
    successor->second.share += share;
    return {};
}

outcome<configuration> apply_patch(const configuration& base, const patch& change)
{
    configuration result = base;
    for (std::size_t i = 0; i < change.operations.size(); ++i) {
        const outcome<void> applied =
            std::visit([&result](const auto& operation) { return apply(result, operation); }, change.operations[i]);
        if (!applied) {
            return failure(error_code::invalid_argument,
                           "/operations/" + std::to_string(i) + ": " + applied.error().message);
        }
    }
    if (const outcome<void> checked = validate(result); !checked) {
        return tl::make_unexpected(checked.error());
    }
    index_accounts(result);
    return result;
}

} // namespace agatespar
