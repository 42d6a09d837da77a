// An accepted configuration as plain structs, and look-up functions. Names are unique only within a fleet, so each
// look-up requires the fleet.
#pragma once

#include <agatespar/config/key_hash.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/strong_type.h>
#include <agatespar/support/units.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace agatespar {

using request_class_name = strong<struct request_class_name_tag, std::string>;
using method_name = strong<struct method_name_tag, std::string>;
using request_class_id = qualified<request_class_name>;

/// The relative weights of latency, cost and failure risk (`exposure`) in a fleet's routing score.
struct routing_weights {
    double latency{1.0};
    double cost{1.0};
    double exposure{1.0};

    friend bool operator==(const routing_weights&, const routing_weights&) = default;
};

struct zone_settings {
    region_name region;
    /// False while operators have taken the zone out of service: it gets no new requests.
    bool in_service{true};

    friend bool operator==(const zone_settings&, const zone_settings&) = default;
};

enum class version_state {
    serving,
    /// Gets no new requests, not even of sessions that were pinned to it.
    withdrawn,
};

struct version_settings {
    version_state state{version_state::serving};
    /// The version to which the sessions of a withdrawn version move; without one they are placed like new sessions.
    std::optional<version_name> successor;
    /// The share of the model's new sessions, 0 to 1; a withdrawn version has none.
    double share{0.0};
    cost_units cost_per_1000_tokens;

    friend bool operator==(const version_settings&, const version_settings&) = default;
};

struct model_settings {
    /// At least one version is serving, and the shares of the serving versions add up to 1.
    std::map<version_name, version_settings> versions;

    friend bool operator==(const model_settings&, const model_settings&) = default;
};

enum class service_kind {
    /// Chat completions by one of the service's models.
    chat,
    /// Calls of named methods on plain backend servers.
    plain,
};

struct method_settings {
    /// An idempotent call may be sent again after an unknown outcome.
    bool idempotent{false};

    friend bool operator==(const method_settings&, const method_settings&) = default;
};

struct service_settings {
    service_kind kind{service_kind::chat};
    /// The models that a chat service may route to, of the same fleet.
    std::set<model_name> models;
    /// The class of requests that specify none.
    std::optional<request_class_name> default_class;
    /// How long a zone that is cut off from the log accepts new requests; unlimited if empty.
    std::optional<std::chrono::milliseconds> cut_off_limit;
    /// The methods of a plain service.
    std::map<method_name, method_settings> methods;

    friend bool operator==(const service_settings&, const service_settings&) = default;
};

struct request_class_settings {
    /// Measured from the request's arrival.
    std::chrono::milliseconds deadline{std::chrono::seconds{30}};
    /// The answer may be withheld until it is rated; otherwise it is sent to the caller as it is generated.
    bool may_hold{false};
    /// Under overload, requests of the classes with the lowest priority are refused first.
    std::uint32_t priority{0};

    friend bool operator==(const request_class_settings&, const request_class_settings&) = default;
};

struct rate_limit {
    double requests_per_second{0.0};
    /// Number of requests that may arrive at the same time.
    double burst{1.0};

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

struct client_account_settings {
    /// The hashes of the account's keys. The keys themselves are not stored.
    std::set<key_hash> key_hashes;
    /// The allowed models of the same fleet; an empty set of versions allows all of a model's versions.
    std::map<model_name, std::set<version_name>> models;
    /// The allowed services of the same fleet.
    std::set<service_name> services;
    std::optional<rate_limit> rate;

    friend bool operator==(const client_account_settings&, const client_account_settings&) = default;
};

/// All settings of one fleet.
struct fleet_settings {
    routing_weights weights;
    std::map<zone_name, zone_settings> zones;
    std::map<model_name, model_settings> models;
    std::map<request_class_name, request_class_settings> classes;
    std::map<service_name, service_settings> services;
    std::map<client_account_name, client_account_settings> accounts;

    friend bool operator==(const fleet_settings&, const fleet_settings&) = default;
};

/// The configuration with a given number. Two VMs with the same number have the same chain hash and the same content.
struct configuration {
    config_number number;
    /// Hash over all accepted patches, in the order of acceptance.
    std::uint64_t chain_hash{0};
    std::map<fleet_name, fleet_settings> fleets;
    /// The client account of each key hash, of which there is exactly one. Built when a patch is accepted.
    std::unordered_map<key_hash, client_account_id> accounts_by_key_hash;
};

/// @return the fleet, or null if it is unknown; the same holds for all look-ups below.
const fleet_settings* find_fleet(const configuration& config, const fleet_name& name);
const zone_settings* find_zone(const configuration& config, const zone_id& id);
const model_settings* find_model(const configuration& config, const model_id& id);
const version_settings* find_version(const configuration& config, const version_id& id);
const service_settings* find_service(const configuration& config, const service_id& id);
const request_class_settings* find_class(const configuration& config, const request_class_id& id);
const client_account_settings* find_account(const configuration& config, const client_account_id& id);

/// Finds the client account of a credential, in constant time. It determines the caller's fleet.
/// @return the account's id, or null if no account has the key.
const client_account_id* find_account_by_key_hash(const configuration& config, const key_hash& hash);

/// @return whether the account allows a version of a model of its own fleet.
bool allows(const client_account_settings& account, const model_name& model, const version_name& version);

/// @param contact_age the time since the VM's state was last known to match the head of the log.
/// @return whether the service accepts new requests in a zone that may be cut off from the log.
bool accepts_new_requests(const service_settings& service, std::chrono::nanoseconds contact_age);

/// Follows the successors of withdrawn versions.
/// @return the serving version that takes over the sessions of the given version (the given version itself if it is
/// serving), or none if the sessions have to be placed like new ones.
std::optional<version_name> resolve_version(const model_settings& model, const version_name& version);

} // namespace agatespar
