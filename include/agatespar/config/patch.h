// Patches: the typed changes that operators submit against a configuration number, and their JSON form.
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

/// The rules by which this program folds patches; a patch of newer rules cannot be folded.
inline constexpr std::uint32_t fold_rules = 1;

/// Bounds on a patch from outside.
inline constexpr std::size_t max_patch_bytes = 256 * 1024;
inline constexpr std::size_t max_patch_depth = 12;
inline constexpr std::size_t max_patch_operations = 1000;
inline constexpr std::size_t max_name_bytes = 64;
/// Zones, versions, classes, services, methods, accounts, keys and allowances of a configuration together. It keeps a
/// snapshot within one message between VMs.
inline constexpr std::size_t max_config_items = 5000;

/// Creates a fleet or changes its weights.
struct put_fleet {
    fleet_name fleet;
    routing_weights weights;
};

/// Removes a fleet that has nothing left in it.
struct remove_fleet {
    fleet_name fleet;
};

/// Creates a named item of a fleet or replaces it whole.
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

/// Creates a version of a known model or replaces it.
struct put_version {
    version_id id;
    version_settings settings;
};

struct remove_version {
    version_id id;
};

/// Sets the shares of all serving versions of a model; a serving version that is not named gets none.
struct set_shares {
    model_id id;
    std::map<version_name, double> shares;
};

/// Withdraws a version. Its share goes to the successor, or without one to the other serving versions in proportion.
struct withdraw_version {
    version_id id;
    std::optional<version_name> successor;
};

struct set_zone_in_service {
    zone_id id;
    bool in_service{true};
};

using patch_operation = std::variant<put_fleet, remove_fleet, put_zone, remove_zone, set_zone_in_service, put_model,
                                     remove_model, put_version, remove_version, set_shares, withdraw_version, put_class,
                                     remove_class, put_service, remove_service, put_account, remove_account>;

/// A change that is accepted whole or not at all.
struct patch {
    patch_id id;
    /// The number that the change was written against; any other current number makes it a conflict.
    config_number base;
    std::string author;
    std::uint32_t rules{fold_rules};
    std::vector<patch_operation> operations;
};

/// Reads a patch against the schema.
/// @param text untrusted JSON. @param source names the text in errors, e.g. a file.
/// @return the patch, or malformed or too_large with source, path in the document and reason.
outcome<patch> parse_patch(std::string_view text, std::string_view source);

/// @return the patch as one line of JSON that parse_patch reads back.
std::string format_patch(const patch& change);

/// @return the `rules` of a record that need not match this program's schema, or 0 if it has none.
std::uint32_t peek_rules(std::string_view text);

/// Applies the operations of a patch and validates the result. Number and chain hash stay as they are.
/// @return the changed configuration, or invalid_argument with the operation and the reason.
outcome<configuration> apply_patch(const configuration& base, const patch& change);

} // namespace agatespar
