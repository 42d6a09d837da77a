// The permits of one VM, each of which allows a request to run on a server. The VM holds permits from servers' owners,
// and grants permits for the servers it owns itself.
#pragma once

#include <agatespar/backend/load_table.h>
#include <agatespar/backend/permit_holder.h>
#include <agatespar/backend/permit_owner.h>
#include <agatespar/membership/messages.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace agatespar {

struct permit_service_settings {
    boot_id self;
    permit_owner_settings owner;
    permit_holder_settings holder;
    /// Minimum time between two publications of the load table of the servers that this VM owns.
    std::chrono::milliseconds table_interval{5000};
    /// An unchanged table is published again after this time.
    std::chrono::milliseconds table_refresh{60'000};
};

/// The permits of one VM, for the servers of its own zone only. Call tick() about every 100 ms.
class permit_service {
public:
    /// @param send sends a message to a VM, immediately or later. A message to this VM itself must be delivered to
    /// on_message() after send has returned, e.g. by event_loop::post.
    permit_service(permit_service_settings settings, permit_holder::send_function send);

    /// Sets the zone's servers, from the VM list and the configuration.
    void set_servers(std::vector<backend_server> servers, steady_time now);
    /// Sets who may own servers, from membership. @param majority whether this VM can reach a majority of the
    /// members.
    void set_view(std::span<const boot_id> owners, bool majority, steady_time now);
    /// @param in_service false while operators have taken the zone out of service: no permit is granted or used.
    void set_in_service(bool in_service, steady_time now);
    /// Handles the failure or departure of a member.
    void on_member_gone(boot_id member, steady_time now) { owner_.on_holder_gone(member, now); }

    /// Other members considered this VM dead, so its servers may have been assigned to other owners: takes the servers
    /// over again, and invalidates all held permits.
    void on_presumed_dead(steady_time now);

    /// Takes one of the unused permits that this VM holds. Allocates memory only when it requests more from the owner.
    /// @return the permit; empty if none is held, the server is not known or the zone is out of service.
    std::optional<permit> try_acquire(server_key server, steady_time now);
    /// Requests a permit. @param alone for a request that must not run concurrently with others.
    /// @param callback called later with the permit or the error.
    /// @return an error if the server is not known or the zone is out of service; the callback is not called then.
    outcome<void> request_permit(server_key server, bool alone, steady_time now, permit_callback callback);
    /// Returns a permit. Call exactly once for each permit acquired.
    void release(const permit& used, const permit_result& result, steady_time now);

    /// Handles messages of kinds permit_request, permit_grant and permit_release from an authenticated peer.
    void on_message(boot_id from, message_kind kind, std::string_view payload, steady_time now);
    /// Runs the periodic work.
    void tick(steady_time now);

    /// @param wall_now calendar time, from which the item's expiry counts.
    /// @return the load table of the servers that this VM owns as a gossip item, if its publication is due.
    std::optional<gossip_item> make_table_update(steady_time now, wall_time wall_now);
    /// Publishes the table repeatedly for repeat_time, for a VM that has just joined and has no tables. A single item
    /// may not reach it, and lost tables are not recovered by the anti-entropy exchanges.
    void start_repeating_table(steady_time now) { repeat_until_ = now + repeat_time; }
    bool is_repeating_table(steady_time now) const { return repeat_until_ && now < *repeat_until_; }
    /// Merges another owner's table. A former owner's table may arrive last, so an entry is accepted only from the
    /// server's owner in this VM's view, or from any sender if the server's load or its owner is unknown.
    /// @param sender the name of the gossip item. @return false if it is malformed.
    bool on_table(std::string_view sender, std::string_view bytes, steady_time now);
    const load_table& table() const { return table_; }

    /// The owner's side, for the servers of this VM: polls that are due, and their results.
    permit_owner& owner() { return owner_; }
    const permit_owner& owner() const { return owner_; }
    const permit_holder& holder() const { return holder_; }
    /// @return the VM that owns a server in this VM's view, if the server is known.
    std::optional<boot_id> owner_of_server(server_key server) const;
    /// @return the number of messages that could not be decoded.
    std::uint64_t undecodable() const { return undecodable_; }

private:
    void assign(steady_time now);

    permit_service_settings settings_;
    permit_holder::send_function send_;
    permit_owner owner_;
    permit_holder holder_;
    load_table table_;
    std::vector<backend_server> servers_;
    std::vector<boot_id> owners_;
    std::unordered_map<server_key, boot_id> owner_by_server_;
    bool in_service_{true};
    bool majority_{true};
    std::uint64_t undecodable_{0};
    std::uint64_t table_version_{0};
    std::vector<server_table_entry> published_table_;
    std::optional<steady_time> published_at_;
    static constexpr std::chrono::seconds repeat_time{20};
    std::optional<steady_time> repeat_until_;
};

} // namespace agatespar
