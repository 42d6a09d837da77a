// A bounded index of the prompt prefixes in the servers' caches, built from cache events that may be late or lost.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/support/clock.h>

#include <array>
#include <cstdint>
#include <vector>

namespace agatespar {

/// A server that probably has a prefix in its cache.
struct prefix_holder {
    server_index server;
    /// Length of the cached prefix.
    std::uint32_t tokens{0};
};

/// The result of a lookup, at most one server per way of the index.
struct prefix_holders {
    std::array<prefix_holder, 4> items;
    std::size_t count{0};
};

/// A set-associative table from prefix hash to servers. A full set replaces its oldest entry, and memory is allocated
/// only on construction. An entry expires if no cache event or dispatch confirms it within the lifetime, as the event
/// of its eviction may have been lost.
class prefix_index {
public:
    /// @param sets the number of sets, rounded up to a power of two; each set has ways() entries.
    /// @param lifetime how long an entry stays valid without confirmation.
    explicit prefix_index(std::size_t sets = 4096, duration lifetime = std::chrono::minutes{2});

    /// Inserts or confirms a server that has a prefix in its cache, on a cache event or a dispatch by this VM. A prefix
    /// of zero is ignored.
    void insert_prefix(std::uint64_t prefix, server_index server, std::uint32_t tokens, steady_time now);
    /// Removes a prefix of one server, which evicted it from its cache.
    void erase_prefix(std::uint64_t prefix, server_index server);
    /// Removes all entries of a server, which restarted or lost its cache.
    void erase_server(server_index server);
    /// @return the servers that probably have the prefix in their cache, none for a prefix of zero.
    prefix_holders find(std::uint64_t prefix, steady_time now) const;

    /// @return the number of entries per set.
    static constexpr std::size_t ways() { return 4; }
    /// @return the size of the table in bytes, which is constant.
    std::size_t bytes() const { return entries_.size() * sizeof(entry); }

private:
    struct entry {
        /// Hash of the prefix; zero marks an unused entry.
        std::uint64_t prefix{0};
        /// When the entry was last confirmed.
        steady_time last_confirmed_at;
        std::uint32_t tokens{0};
        server_index server;
    };

    /// @return the position in entries_ of the first entry of the prefix's set.
    std::size_t first_of_set(std::uint64_t prefix) const;

    duration lifetime_;
    std::vector<entry> entries_;
};

} // namespace agatespar
