// A bounded memory of which server holds which prompt prefix, fed from late and incomplete cache events.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/support/clock.h>

#include <array>
#include <cstdint>
#include <vector>

namespace agatespar {

/// One server that is believed to hold a prefix.
struct prefix_holder {
    server_index server;
    std::uint32_t tokens{0};
};

/// The holders that a look-up found, at most one per way of the index.
struct prefix_holders {
    std::array<prefix_holder, 4> items;
    std::size_t count{0};
};

/// A set-associative table from prefix hash to servers. It replaces the oldest entry of a set, allocates only
/// when it is made, and forgets an entry that no event or dispatch confirmed for a while, as the event of its
/// eviction may have been lost.
class prefix_index {
public:
    /// @param sets rounded up to a power of two; each set remembers ways() holders.
    /// @param lifetime how long an unconfirmed entry is believed.
    explicit prefix_index(std::size_t sets = 4096, duration lifetime = std::chrono::minutes{2});

    /// Remembers that a server holds a prefix, from a cache event or an own dispatch.
    void remember(std::uint64_t prefix, server_index server, std::uint32_t tokens, steady_time now);
    /// Forgets a prefix of one server, as it was evicted.
    void forget(std::uint64_t prefix, server_index server);
    /// Forgets all that a server held, as it restarted or turned cold.
    void forget_server(server_index server);
    /// @return the servers that are believed to hold a prefix, none for a prefix of zero.
    prefix_holders find(std::uint64_t prefix, steady_time now) const;

    static constexpr std::size_t ways() { return 4; }
    /// @return the bytes that the table takes, which never change.
    std::size_t bytes() const { return entries_.size() * sizeof(entry); }

private:
    struct entry {
        std::uint64_t prefix{0};
        steady_time seen;
        std::uint32_t tokens{0};
        server_index server;
    };

    std::size_t first_of_set(std::uint64_t prefix) const;

    duration lifetime_;
    std::vector<entry> entries_;
};

} // namespace agatespar
