// The approximate load of all servers of the zone, as published through gossip by the VMs that own them.
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

/// One server's entry and when this VM received it.
struct received_load {
    server_table_entry entry;
    steady_time received;
};

/// Stores the most recently received entry of each server.
class load_table {
public:
    /// @return whether the sender of a table is authoritative for the server with the given low half of the key.
    using authority_check = std::function<bool(std::uint32_t)>;

    /// Applies the encoded bytes of a gossip item of kind server_table.
    /// @param is_authoritative selects the entries to apply; if empty, all are applied. @return false if the bytes are
    /// malformed.
    bool merge(std::string_view bytes, steady_time now, const authority_check& is_authoritative = {});
    /// @return the entry of a server, or nothing if none is stored.
    std::optional<received_load> find(server_key server) const;
    /// Erases entries last received before the given time, e.g. those of removed servers.
    void expire(steady_time older_than);
    bool contains(std::uint32_t short_server_key) const { return entries_.count(short_server_key) > 0; }
    std::size_t size() const { return entries_.size(); }

private:
    std::unordered_map<std::uint32_t, received_load> entries_;
};

/// @return the low 32 bits of the key, which identify the server in the table.
std::uint32_t short_key(server_key server);

/// @return whether two entries differ enough for the newer one to be published.
bool differs_materially(const server_table_entry& left, const server_table_entry& right);

/// Corrects a delayed load report by the requests that this VM sent or saw end after the report was made.
/// @param reported the number of requests running at `reported_at`.
/// @param sent the times at which this VM sent requests; only those after `reported_at` count.
/// @param ended the times at which requests of this VM ended; only those after `reported_at` count.
/// @param reported_at the time to which the report refers.
/// @return the estimated number of requests running now, at least 0.
std::uint32_t corrected_load(std::uint32_t reported, std::span<const steady_time> sent,
                             std::span<const steady_time> ended, steady_time reported_at);

} // namespace agatespar
