// Patches for the tests of the configuration.
#pragma once

#include <agatespar/config/patch.h>

#include <string>
#include <utility>
#include <vector>

namespace agatespar {

inline patch make_patch(std::string id, std::uint64_t base, std::vector<patch_operation> operations)
{
    return patch{patch_id{std::move(id)}, config_number{base}, "ana", fold_rules_version, std::move(operations)};
}

/// Adds one fleet with a model of two versions, a service of each kind, a zone and an account.
inline void add_fleet(std::vector<patch_operation>& operations, const std::string& fleet_text, const std::string& key)
{
    const fleet_name fleet{fleet_text};
    operations.emplace_back(put_fleet{fleet, {}});
    operations.emplace_back(put_zone{{fleet, zone_name{"a"}}, {region_name{"west"}, true}});
    model_settings model;
    model.versions[version_name{"1"}] = {version_state::serving, {}, 0.9, cost_units{1.0}};
    model.versions[version_name{"2"}] = {version_state::serving, {}, 0.1, cost_units{2.0}};
    operations.emplace_back(put_model{{fleet, model_name{"assistant"}}, model});
    request_class_settings question;
    operations.emplace_back(put_class{{fleet, request_class_name{"question"}}, question});
    service_settings chat;
    chat.models = {model_name{"assistant"}};
    chat.default_class = request_class_name{"question"};
    operations.emplace_back(put_service{{fleet, service_name{"chat"}}, chat});
    service_settings orders;
    orders.kind = service_kind::plain;
    orders.methods[method_name{"book"}] = {false};
    orders.methods[method_name{"stock"}] = {true};
    operations.emplace_back(put_service{{fleet, service_name{"orders"}}, orders});
    client_account_settings account;
    account.key_hashes = {hash_key(key)};
    account.models[model_name{"assistant"}] = {};
    account.services = {service_name{"chat"}, service_name{"orders"}};
    account.rate = rate_limit{10.0, 20.0};
    operations.emplace_back(put_account{{fleet, client_account_name{"main"}}, account});
}

/// Adds two fleets whose items have the same names.
inline patch two_fleets_patch(std::string id)
{
    std::vector<patch_operation> operations;
    add_fleet(operations, "kovacic", "key-k");
    add_fleet(operations, "colombes", "key-c");
    return make_patch(std::move(id), 0, std::move(operations));
}

/// Takes the sample zone out of service or puts it back into service.
inline patch zone_patch(std::string id, std::uint64_t base, bool in_service)
{
    return make_patch(std::move(id), base, {set_zone_in_service{{fleet_name{"kovacic"}, zone_name{"a"}}, in_service}});
}

} // namespace agatespar
