// The JSON fields of the configuration's structs, in patches and snapshots.
#pragma once

#include "json_archive.h"

#include <agatespar/config/configuration.h>

#include <array>

namespace agatespar {

template <class Enum, std::size_t Size>
using name_table = std::array<std::pair<const char*, Enum>, Size>;

inline constexpr number_bounds weight_bounds{0.0, 1e6};
inline constexpr number_bounds share_bounds{0.0, 1.0};
inline constexpr number_bounds price_bounds{0.0, 1e9};
inline constexpr number_bounds rate_bounds{1e-6, 1e9};
inline constexpr number_bounds burst_bounds{1.0, 1e9};
// Up to three days, as callers of the slowest classes wait that long.
inline constexpr number_bounds deadline_bounds{1.0, 3.0 * 24 * 3600 * 1000};
inline constexpr number_bounds cut_off_bounds{0.0, 30.0 * 24 * 3600 * 1000};
inline constexpr number_bounds priority_bounds{0.0, 1000.0};

constexpr name_table<version_state, 2> enum_names(version_state)
{
    return {{{"serving", version_state::serving}, {"withdrawn", version_state::withdrawn}}};
}

constexpr name_table<service_kind, 2> enum_names(service_kind)
{
    return {{{"chat", service_kind::chat}, {"plain", service_kind::plain}}};
}

template <class Archive>
void fields(Archive& archive, routing_weights& value)
{
    archive.optional("latency", value.latency, weight_bounds);
    archive.optional("cost", value.cost, weight_bounds);
    archive.optional("exposure", value.exposure, weight_bounds);
}

template <class Archive>
void fields(Archive& archive, zone_settings& value)
{
    archive.required("region", value.region);
    archive.optional("in_service", value.in_service);
}

template <class Archive>
void fields(Archive& archive, version_settings& value)
{
    archive.optional("state", value.state);
    archive.optional("successor", value.successor);
    archive.optional("share", value.share, share_bounds);
    archive.required("cost_per_1000_tokens", value.cost_per_1000_tokens, price_bounds);
}

template <class Archive>
void fields(Archive& archive, model_settings& value)
{
    archive.required("versions", value.versions);
}

template <class Archive>
void fields(Archive& archive, method_settings& value)
{
    archive.optional("idempotent", value.idempotent);
}

template <class Archive>
void fields(Archive& archive, service_settings& value)
{
    archive.required("kind", value.kind);
    archive.optional("models", value.models);
    archive.optional("default_class", value.default_class);
    archive.optional("cut_off_limit_ms", value.cut_off_limit, cut_off_bounds);
    archive.optional("methods", value.methods);
}

template <class Archive>
void fields(Archive& archive, request_class_settings& value)
{
    archive.required("deadline_ms", value.deadline, deadline_bounds);
    archive.optional("may_hold", value.may_hold);
    archive.optional("priority", value.priority, priority_bounds);
}

template <class Archive>
void fields(Archive& archive, rate_limit& value)
{
    archive.required("requests_per_second", value.requests_per_second, rate_bounds);
    archive.optional("burst", value.burst, burst_bounds);
}

template <class Archive>
void fields(Archive& archive, client_account_settings& value)
{
    archive.required("key_hashes", value.key_hashes);
    archive.optional("models", value.models);
    archive.optional("services", value.services);
    archive.optional("rate", value.rate);
}

template <class Archive>
void fields(Archive& archive, fleet_settings& value)
{
    archive.optional("weights", value.weights);
    archive.optional("zones", value.zones);
    archive.optional("models", value.models);
    archive.optional("classes", value.classes);
    archive.optional("services", value.services);
    archive.optional("accounts", value.accounts);
}

} // namespace agatespar
