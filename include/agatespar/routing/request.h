// The properties of a request that a routing decision uses.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/support/clock.h>

#include <array>
#include <cstdint>

namespace agatespar {

inline constexpr std::size_t max_pins = 8;
inline constexpr std::size_t max_excluded_servers = 8;
inline constexpr std::size_t max_prefixes = 4;

/// A list of bounded size that is stored in place, so that copying it allocates no memory.
template <class Item, std::size_t Capacity>
struct inline_list {
    std::array<Item, Capacity> items{};
    std::uint8_t count{0};

    /// Appends an item unless the list is full. @return whether the item was appended.
    bool push(const Item& item)
    {
        if (count == Capacity)
            return false;
        items[count++] = item;
        return true;
    }
    bool contains(const Item& item) const
    {
        for (const Item& each : *this) {
            if (each == item)
                return true;
        }
        return false;
    }
    const Item* begin() const { return items.data(); }
    const Item* end() const { return items.data() + count; }
};

/// A prefix of the prompt that a server may have in its cache.
struct prompt_prefix {
    /// Key of the prefix in routing_view::prefixes.
    std::uint64_t hash{0};
    /// Length of the prefix in tokens.
    std::uint32_t tokens{0};

    friend bool operator==(const prompt_prefix&, const prompt_prefix&) = default;
};

/// The input of one routing decision. A request has one decision for each attempt and each step of its cascade.
struct route_request {
    fleet_index fleet;
    class_index request_class;
    /// The versions that both the client account and the requested model or service allow.
    version_set allowed;
    /// The versions that the cascade's plan selected. If empty, all allowed versions are scored.
    version_set preferred;
    /// The versions to use if no server of a preferred version is free in any zone; those that are not allowed are
    /// ignored.
    version_set fallback;
    /// A stable hash of the session id, or of the request id if the request has no session.
    std::uint64_t session_hash{0};
    /// The versions to which the session is pinned, at most one per model.
    inline_list<version_index, max_pins> pins;
    /// Prefixes of the prompt, longest first.
    inline_list<prompt_prefix, max_prefixes> prefixes;
    /// Servers that earlier attempts used, or for which a permit was refused.
    inline_list<server_index, max_excluded_servers> excluded;
    std::uint32_t prompt_tokens{0};
    std::uint32_t expected_output_tokens{0};
    steady_time deadline{steady_time::max()};
    /// The answer is streamed to the caller while it is generated.
    bool streamed{false};
    /// A request with the same fingerprint crashed a server, so this one may run only on an otherwise idle server.
    bool must_run_alone{false};
    /// Requests with the same fingerprint crashed servers twice, so this one is refused.
    bool quarantined{false};
    /// The request came from another zone and must not be forwarded again.
    bool forwarded{false};
};

} // namespace agatespar
