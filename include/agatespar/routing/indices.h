// Dense indices that replace names on the hot path of a routing decision.
#pragma once

#include <agatespar/support/strong_type.h>

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace agatespar {

/// Position of a server in routing_view::servers; stable until the view is rebuilt.
using server_index = strong<struct server_index_tag, std::uint16_t>;
/// Position of a version in routing_view::versions.
using version_index = strong<struct version_index_tag, std::uint8_t>;
/// A model. A roll-out splits the new sessions among the versions with the same model.
using model_index = strong<struct model_index_tag, std::uint8_t>;
/// Position of a zone in routing_view::zones.
using zone_index = strong<struct zone_index_tag, std::uint8_t>;
/// Position of a fleet in routing_view::weights.
using fleet_index = strong<struct fleet_index_tag, std::uint8_t>;
/// A request class of a fleet, e.g. lookups, questions or long drafts.
using class_index = strong<struct class_index_tag, std::uint8_t>;

/// @return the class at a position below max_classes.
constexpr class_index class_at(std::size_t position)
{
    return class_index{static_cast<std::uint8_t>(position)};
}

inline constexpr std::size_t max_versions = 64;
inline constexpr std::size_t max_models = 32;
inline constexpr std::size_t max_classes = 16;

/// A set of versions, by version_index.
using version_set = std::bitset<max_versions>;

} // namespace agatespar
