// Identifier types. Every name that an operator assigns is qualified by its fleet.
#pragma once

#include <agatespar/support/strong_type.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace agatespar {

using fleet_name = strong<struct fleet_name_tag, std::string>;
using client_account_name = strong<struct client_account_name_tag, std::string>;
using model_name = strong<struct model_name_tag, std::string>;
using version_name = strong<struct version_name_tag, std::string>;
using service_name = strong<struct service_name_tag, std::string>;
using zone_name = strong<struct zone_name_tag, std::string>;
using server_name = strong<struct server_name_tag, std::string>;
using region_name = strong<struct region_name_tag, std::string>;
using stream_name = strong<struct stream_name_tag, std::string>;

/// Identifies a caller's request permanently, e.g. in traces, bills and explanations.
using request_id = strong<struct request_id_tag, std::string>;
/// The caller's key by which repeated submissions of a non-idempotent request are recognised.
using idempotency_key = strong<struct idempotency_key_tag, std::string>;
/// Hash of the content of a request; equal if the caller sends the request again.
using request_fingerprint = strong<struct request_fingerprint_tag, std::uint64_t>;
/// Identifies one attempt of a request on one backend server.
using attempt_id = strong<struct attempt_id_tag, std::uint64_t>;
/// Identifies one run of a VM's process. Unlike an address, a boot id is never reused.
using boot_id = strong<struct boot_id_tag, std::uint64_t>;
/// Number of patches accepted so far; zero is the empty configuration.
using config_number = strong<struct config_number_tag, std::uint64_t>;
/// A position in a stream of the log service; the first record has offset 1.
using log_offset = strong<struct log_offset_tag, std::uint64_t>;
/// Orders commands to a backend server; a server that checks it refuses commands with an older number.
using fencing_number = strong<struct fencing_number_tag, std::uint64_t>;

/// A name qualified by its fleet, as names are unique only within a fleet.
template <class Name>
struct qualified {
    fleet_name fleet;
    Name name;

    friend auto operator<=>(const qualified&, const qualified&) = default;
    friend bool operator==(const qualified&, const qualified&) = default;
};

using client_account_id = qualified<client_account_name>;
using model_id = qualified<model_name>;
using service_id = qualified<service_name>;
using zone_id = qualified<zone_name>;
using server_id = qualified<server_name>;

/// One version of one fleet's model.
struct version_id {
    model_id model;
    version_name version;

    friend auto operator<=>(const version_id&, const version_id&) = default;
    friend bool operator==(const version_id&, const version_id&) = default;
};

/// @return "fleet/name".
template <class Name>
std::string to_string(const qualified<Name>& id)
{
    return id.fleet.value() + "/" + id.name.value();
}

/// @return "fleet/model@version".
inline std::string to_string(const version_id& id)
{
    return to_string(id.model) + "@" + id.version.value();
}

} // namespace agatespar

template <class Name>
struct std::hash<agatespar::qualified<Name>> {
    std::size_t operator()(const agatespar::qualified<Name>& id) const
    {
        return std::hash<agatespar::fleet_name>{}(id.fleet) * 31 + std::hash<Name>{}(id.name);
    }
};

template <>
struct std::hash<agatespar::version_id> {
    std::size_t operator()(const agatespar::version_id& id) const
    {
        return std::hash<agatespar::model_id>{}(id.model) * 31 + std::hash<agatespar::version_name>{}(id.version);
    }
};
