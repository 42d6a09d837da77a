// Look-up functions of a configuration.
#include <agatespar/config/configuration.h>

namespace agatespar {

template <class Map>
static const typename Map::mapped_type* find_in(const Map& map, const typename Map::key_type& key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

const fleet_settings* find_fleet(const configuration& config, const fleet_name& name)
{
    return find_in(config.fleets, name);
}

const zone_settings* find_zone(const configuration& config, const zone_id& id)
{
    const fleet_settings* fleet = find_fleet(config, id.fleet);
    return fleet == nullptr ? nullptr : find_in(fleet->zones, id.name);
}

const model_settings* find_model(const configuration& config, const model_id& id)
{
    const fleet_settings* fleet = find_fleet(config, id.fleet);
    return fleet == nullptr ? nullptr : find_in(fleet->models, id.name);
}

const version_settings* find_version(const configuration& config, const version_id& id)
{
    const model_settings* model = find_model(config, id.model);
    return model == nullptr ? nullptr : find_in(model->versions, id.version);
}

const service_settings* find_service(const configuration& config, const service_id& id)
{
    const fleet_settings* fleet = find_fleet(config, id.fleet);
    return fleet == nullptr ? nullptr : find_in(fleet->services, id.name);
}

const request_class_settings* find_class(const configuration& config, const request_class_id& id)
{
    const fleet_settings* fleet = find_fleet(config, id.fleet);
    return fleet == nullptr ? nullptr : find_in(fleet->classes, id.name);
}

const client_account_settings* find_account(const configuration& config, const client_account_id& id)
{
    const fleet_settings* fleet = find_fleet(config, id.fleet);
    return fleet == nullptr ? nullptr : find_in(fleet->accounts, id.name);
}

const client_account_id* find_account_by_key_hash(const configuration& config, const key_hash& hash)
{
    return find_in(config.accounts_by_key_hash, hash);
}

bool allows(const client_account_settings& account, const model_name& model, const version_name& version)
{
    const std::set<version_name>* versions = find_in(account.models, model);
    return versions != nullptr && (versions->empty() || versions->contains(version));
}

bool accepts_new_requests(const service_settings& service, std::chrono::nanoseconds contact_age)
{
    return !service.cut_off_limit || contact_age <= *service.cut_off_limit;
}

std::optional<version_name> resolve_version(const model_settings& model, const version_name& version)
{
    version_name candidate = version;
    // Validation rules out cycles of successors; the bound ensures termination on any input.
    for (std::size_t step = 0; step <= model.versions.size(); ++step) {
        const version_settings* settings = find_in(model.versions, candidate);
        if (settings == nullptr) {
            return std::nullopt;
        }
        if (settings->state == version_state::serving) {
            return candidate;
        }
        if (!settings->successor) {
            return std::nullopt;
        }
        candidate = *settings->successor;
    }
    return std::nullopt;
}

} // namespace agatespar
