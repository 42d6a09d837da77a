// The coarse load of all servers of the zone, as their owners spread it by gossip.
#pragma once

#include <agatespar/backend/messages.h>
#include <agatespar/support/clock.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace agatespar {

/// One server's entry and when this VM got it.
struct known_load {
    server_table_entry entry;
    steady_time received;
};

/// Keeps the newest entry of each server.
class load_table {
public:
    /// @return whether the sender of a table may speak for a server, by the low half of the server's key.
    using speaks_for = std::function<bool(std::uint32_t)>;

    /// Takes in the bytes of a gossip item of kind server_table. @return false if they are malformed.
    bool merge(std::string_view bytes, steady_time now, const speaks_for& speaks = {});
    std::optional<known_load> find(server_key server) const;
    /// Drops entries that were not renewed, e.g. of servers that are gone.
    void expire(steady_time older_than);
    bool knows(std::uint32_t short_server_key) const { return entries_.count(short_server_key) > 0; }
    std::size_t size() const { return entries_.size(); }

private:
    std::unordered_map<std::uint32_t, known_load> entries_;
};

/// @return the low half of the key, as it stands in the table.
std::uint32_t short_key(server_key server);

/// @return whether two entries differ enough for the difference to be worth spreading.
bool differs_materially(const server_table_entry& left, const server_table_entry& right);

/// Corrects a lagging figure by what the reporter could not know yet.
/// @param reported the running work when the report was made.
/// @param sent when this VM's own work since then was sent. @param ended when own work since then ended.
/// @param reported_at the time that the report speaks of.
/// @return the work that runs now, as far as this VM can know.
std::uint32_t corrected_load(std::uint32_t reported, std::span<const steady_time> sent,
                             std::span<const steady_time> ended, steady_time reported_at);

} // namespace agatespar
