// Patches: typed changes that operators submit against a configuration number, and their JSON format.
#pragma once

#include <agatespar/config/configuration.h>
#include <agatespar/support/outcome.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace agatespar {

using patch_id = strong<struct patch_id_tag, std::string>;

/// Version of the fold rules, i.e. the rules by which this program applies the records of the log to the configuration.
/// A record that requires a newer version, written by a newer program, can't be applied.
inline constexpr std::uint32_t fold_rules_version = 1;

/// Bounds on an untrusted patch.
inline constexpr std::size_t max_patch_bytes = 256 * 1024;
inline constexpr std::size_t max_patch_depth = 12;
inline constexpr std::size_t max_patch_operations = 1000;
inline constexpr std::size_t max_name_bytes = 64;
/// Maximum total number of fleets, zones, models, versions, classes, services, methods, accounts, keys and permissions
/// of a configuration. A model that serves a service counts once more. A permission is an entry in an account's lists
/// of models, services and versions. Keeps a snapshot small enough for one message between VMs.
inline constexpr std::size_t max_config_items = 5000;

/// Creates a fleet or changes its weights.
struct put_fleet {
    fleet_name fleet;
    routing_weights weights;
};

/// Removes an empty fleet.
struct remove_fleet {
    fleet_name fleet;
};

/// Creates a named item of a fleet, or replaces all its settings.
template <class Name, class Settings>
struct put_item {
    qualified<Name> id;
    Settings settings;
};

/// Removes a named item of a fleet.
template <class Name>
struct remove_item {
    qualified<Name> id;
};

using put_zone = put_item<zone_name, zone_settings>;
using put_model = put_item<model_name, model_settings>;
using put_class = put_item<request_class_name, request_class_settings>;
using put_service = put_item<service_name, service_settings>;
using put_account = put_item<client_account_name, client_account_settings>;
using remove_zone = remove_item<zone_name>;
using remove_model = remove_item<model_name>;
using remove_class = remove_item<request_class_name>;
using remove_service = remove_item<service_name>;
using remove_account = remove_item<client_account_name>;

/// Creates a version of an existing model, or replaces it.
struct put_version {
    version_id id;
    version_settings settings;
};

/// Removes a version of a model.
struct remove_version {
    version_id id;
};

/// Sets the shares of all versions of a model. The share of a version that is not listed becomes 0.
struct set_shares {
    model_id id;
    std::map<version_name, double> shares;
};

/// Withdraws a version. Its share is given to the successor, or without one to the other serving versions in proportion
/// to their shares.
struct withdraw_version {
    version_id id;
    std::optional<version_name> successor;
};

/// Takes a zone out of service, or returns it to service.
struct set_zone_in_service {
    zone_id id;
    bool in_service{true};
};

using patch_operation = std::variant<put_fleet, remove_fleet, put_zone, remove_zone, set_zone_in_service, put_model,
                                     remove_model, put_version, remove_version, set_shares, withdraw_version, put_class,
                                     remove_class, put_service, remove_service, put_account, remove_account>;

/// A change that is applied atomically: all its operations or none.
struct patch {
    patch_id id;
    /// The number of the configuration that the change is based on. The patch is a conflict if it is not current.
    config_number base;
    std::string author;
    /// The version of the fold rules that the patch requires.
    std::uint32_t rules{fold_rules_version};
    std::vector<patch_operation> operations;
};

/// Parses a patch and checks it against the schema.
/// @param text untrusted JSON. @param source describes the origin of the text in errors, e.g. a file name.
/// @return the patch, or malformed or too_large with source, path in the document and reason.
outcome<patch> parse_patch(std::string_view text, std::string_view source);

/// @return the patch as one line of JSON that parse_patch accepts.
std::string format_patch(const patch& change);

/// @return the `rules` field of a record, which need not match this program's schema; 0 if there is none.
std::uint32_t peek_rules(std::string_view text);

/// Applies the operations of a patch and validates the result. Number and chain hash are not changed.
/// @return the changed configuration, or invalid_argument with the operation and the reason.
outcome<configuration> apply_patch(const configuration& base, const patch& change);

} // namespace agatespar
