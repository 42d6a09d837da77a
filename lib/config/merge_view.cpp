// Finds names that exist in several fleets, and formats configurations as JSON.
#include "configuration_fields.h"

#include <agatespar/config/merge_view.h>

#include <sstream>

namespace agatespar {

static std::string join(const std::vector<std::string>& parts)
{
    std::string text;
    for (const std::string& part : parts) {
        text += (text.empty() ? "" : ", ") + part;
    }
    return text;
}

static std::string describe(const zone_settings& zone)
{
    return "in region " + zone.region.value() + (zone.in_service ? ", in service" : ", out of service");
}

static std::string describe(const model_settings& model)
{
    std::vector<std::string> versions;
    for (const auto& [name, version] : model.versions) {
        std::ostringstream text;
        text << name.value();
        if (version.state == version_state::withdrawn) {
            text << " withdrawn";
        }
        else {
            text << " at share " << version.share;
        }
        versions.push_back(text.str());
    }
    return "versions " + join(versions);
}

static std::string describe(const request_class_settings& settings)
{
    return "deadline " + std::to_string(settings.deadline.count()) + " ms";
}

static std::string describe(const service_settings& service)
{
    std::vector<std::string> parts;
    for (const model_name& model : service.models) {
        parts.push_back(model.value());
    }
    for (const auto& [method, settings] : service.methods) {
        parts.push_back(method.value());
    }
    return (service.kind == service_kind::chat ? "chat by " : "plain calls ") + join(parts);
}

static std::string describe(const client_account_settings& account)
{
    std::vector<std::string> models;
    for (const auto& [model, versions] : account.models) {
        models.push_back(model.value());
    }
    return std::to_string(account.key_hashes.size()) + " keys, models " + (models.empty() ? "none" : join(models));
}

template <class Map>
static void collect(const configuration& config, const char* kind, Map fleet_settings::*items,
                    std::vector<name_clash>& clashes)
{
    std::map<typename Map::key_type, std::vector<clash_meaning>> meanings;
    for (const auto& [fleet, settings] : config.fleets) {
        for (const auto& [name, item] : settings.*items) {
            meanings[name].push_back({fleet, describe(item)});
        }
    }
    for (auto& [name, found] : meanings) {
        if (found.size() > 1) {
            clashes.push_back({kind, name.value(), std::move(found)});
        }
    }
}

std::vector<name_clash> find_clashes(const configuration& config)
{
    std::vector<name_clash> clashes;
    collect(config, "zone", &fleet_settings::zones, clashes);
    collect(config, "model", &fleet_settings::models, clashes);
    collect(config, "class", &fleet_settings::classes, clashes);
    collect(config, "service", &fleet_settings::services, clashes);
    collect(config, "account", &fleet_settings::accounts, clashes);
    return clashes;
}

static nlohmann::json to_json(const configuration& config)
{
    return {{"number", config.number.value()},
            {"chain_hash", std::to_string(config.chain_hash)},
            {"fleets", json_writer::write_value(config.fleets)}};
}

std::string format_configuration(const configuration& config, const std::optional<fleet_name>& fleet)
{
    nlohmann::json document = to_json(config);
    if (fleet) {
        nlohmann::json only = nlohmann::json::object();
        const auto found = document["fleets"].find(fleet->value());
        if (found != document["fleets"].end()) {
            only[fleet->value()] = *found;
        }
        document["fleets"] = std::move(only);
    }
    return document.dump(2);
}

std::string format_difference(const configuration& before, const configuration& after)
{
    return nlohmann::json::diff(to_json(before)["fleets"], to_json(after)["fleets"]).dump(2);
}

} // namespace agatespar
