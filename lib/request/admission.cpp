// Resolves the caller's target and request class within the account's fleet.
#include <agatespar/request/admission.h>
#include <agatespar/request/server_table.h>

namespace agatespar {

/// Appends the versions of a model that the account may use.
/// @return whether there are any.
static bool add_allowed(const client_account_settings& account, const model_id& id, const model_settings& model,
                        std::vector<version_id>& allowed)
{
    const std::size_t before = allowed.size();
    for (const auto& [version, settings] : model.versions) {
        if (allows(account, id.name, version)) {
            allowed.push_back({id, version});
        }
    }
    return allowed.size() > before;
}

static outcome<std::vector<version_id>> resolve_target(const chat_request& request, const fleet_settings& fleet,
                                                       const client_account_settings& account)
{
    const fleet_name& name = request.account.fleet;
    std::vector<version_id> allowed;
    const auto service = fleet.services.find(service_name{request.target});
    if (service != fleet.services.end() && service->second.kind == service_kind::chat) {
        if (!account.services.contains(service->first)) {
            return failure(error_code::not_allowed, "the account may not use service " + request.target);
        }
        for (const model_name& model : service->second.models) {
            add_allowed(account, {name, model}, fleet.models.at(model), allowed);
        }
        if (allowed.empty()) {
            return failure(error_code::not_allowed, "the account may not use any model of service " + request.target);
        }
        return allowed;
    }
    const auto model = fleet.models.find(model_name{request.target});
    if (model == fleet.models.end()) {
        return failure(error_code::not_found, "no model or chat service of this name in the account's fleet");
    }
    if (!add_allowed(account, {name, model->first}, model->second, allowed)) {
        return failure(error_code::not_allowed, "the account may not use model " + request.target);
    }
    return allowed;
}

/// @param name receives the name of the class.
/// @return the settings of the named class, else of the service's default class, else the default settings.
static outcome<request_class_settings> resolve_class(const chat_request& request, const fleet_settings& fleet,
                                                     std::string& name)
{
    name = request.request_class;
    const auto service = fleet.services.find(service_name{request.target});
    if (name.empty() && service != fleet.services.end() && service->second.default_class) {
        name = service->second.default_class->value();
    }
    if (name.empty()) {
        return request_class_settings{};
    }
    const auto found = fleet.classes.find(request_class_name{name});
    if (found == fleet.classes.end()) {
        return failure(error_code::not_found, "no request class '" + name + "' in the account's fleet");
    }
    return found->second;
}

outcome<void> check_cut_off(const service_settings& service, duration log_age)
{
    if (accepts_new_requests(service, log_age)) {
        return {};
    }
    return failure(error_code::unavailable, "the zone has been cut off for longer than the service accepts new work");
}

outcome<admitted_chat> admit_chat(const chat_request& request, const server_table& servers, duration log_age)
{
    const client_account_settings* account = find_account(servers.config(), request.account);
    const fleet_settings* fleet = find_fleet(servers.config(), request.account.fleet);
    if (account == nullptr || fleet == nullptr) {
        return failure(error_code::unauthenticated, "the client account no longer exists");
    }
    const auto service = fleet->services.find(service_name{request.target});
    if (service != fleet->services.end()) {
        if (auto cut_off = check_cut_off(service->second, log_age); !cut_off) {
            return tl::make_unexpected(cut_off.error());
        }
    }
    admitted_chat admitted;
    auto allowed = resolve_target(request, *fleet, *account);
    if (!allowed) {
        return tl::make_unexpected(allowed.error());
    }
    const auto settings = resolve_class(request, *fleet, admitted.request_class);
    if (!settings) {
        return tl::make_unexpected(settings.error());
    }
    admitted.allowed = *std::move(allowed);
    admitted.deadline = request.deadline ? std::min(*request.deadline, settings->deadline) : settings->deadline;
    admitted.may_hold = settings->may_hold && !request.streamed;
    admitted.priority = settings->priority;
    return admitted;
}

} // namespace agatespar
