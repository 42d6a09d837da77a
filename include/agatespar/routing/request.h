// What a routing decision needs to know of a request.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/support/clock.h>

#include <array>
#include <cstdint>

namespace agatespar {

inline constexpr std::size_t max_pins = 8;
inline constexpr std::size_t max_excluded_servers = 8;
inline constexpr std::size_t max_prefixes = 4;

/// A list that lives inside its owner, so that copying it allocates nothing.
template <class Item, std::size_t Capacity>
struct inline_list {
    std::array<Item, Capacity> items{};
    std::uint8_t count{0};

    /// Appends an item; one too many is dropped. @return whether it fitted.
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

/// A prefix of the prompt that a server may hold in its cache.
struct prompt_prefix {
    std::uint64_t hash{0};
    std::uint32_t tokens{0};

    friend bool operator==(const prompt_prefix&, const prompt_prefix&) = default;
};

/// One request, or the next attempt or cascade step of it.
struct route_request {
    fleet_index fleet;
    class_index request_class;
    /// The versions that the client account and the request's model or service allow.
    version_set allowed;
    /// The versions that the cascade's plan wants; empty leaves the choice among the allowed to the score.
    version_set preferred;
    /// The allowed versions that may stand in where no preferred one is free in any zone.
    version_set fallback;
    /// A stable hash of the session's id, or of the request's id where there is no session.
    std::uint64_t session_hash{0};
    /// The versions that the session is pinned to, at most one per model.
    inline_list<version_index, max_pins> pins;
    /// Prefixes of the prompt, longest first.
    inline_list<prompt_prefix, max_prefixes> prefixes;
    /// Servers that earlier attempts tried, or that refused a permit.
    inline_list<server_index, max_excluded_servers> excluded;
    std::uint32_t prompt_tokens{0};
    std::uint32_t expected_output_tokens{0};
    steady_time deadline{steady_time::max()};
    /// The caller reads the answer as it comes.
    bool streamed{false};
    /// Its fingerprint crashed a server: it may only run where nothing else runs.
    bool must_run_alone{false};
    /// Its fingerprint crashed servers twice: it does not run.
    bool quarantined{false};
    /// It came from another zone and must not be sent on.
    bool forwarded{false};
};

} // namespace agatespar
