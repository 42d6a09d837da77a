// Permits as one VM sees them: it asks the owners for permits, and owns some servers itself.
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
    /// The least time between two tables of the own servers.
    std::chrono::milliseconds table_interval{5000};
    /// A table that did not change is spread again after this.
    std::chrono::milliseconds table_refresh{60'000};
};

/// The permits of one VM. Only servers of its own zone are known to it. Call tick() about every 100 ms.
class permit_service {
public:
    /// @param send sends a message to a VM, at once or later. One to this VM itself must come back later, through
    /// on_message(), e.g. by event_loop::post.
    permit_service(permit_service_settings settings, permit_holder::send_function send);

    /// Sets the zone's servers, from the VM list and the configuration.
    void set_servers(std::vector<backend_server> servers, steady_time now);
    /// Sets who may own servers, from membership. @param majority whether this VM sees most members.
    void set_view(std::span<const boot_id> owners, bool majority, steady_time now);
    /// @param in_service false while operators have taken the zone out: no permit is given or used any more.
    void set_in_service(bool in_service, steady_time now);
    /// A member died or left.
    void on_member_gone(boot_id member, steady_time now) { owner_.on_holder_gone(member, now); }

    /// Others believed this VM dead, so that its servers may have been given to others: it takes them over anew.
    void on_presumed_dead(steady_time now);

    /// Takes a permit that is held already. Allocates only when it sends a request to refill the store.
    std::optional<permit> try_acquire(server_key server, steady_time now);
    /// Asks for a permit. @param alone for a request that must run with nothing else. @param callback called later.
    /// @return an error at once if the server is not known or the zone is out of service; there is no callback then.
    outcome<void> request_permit(server_key server, bool alone, steady_time now, permit_callback callback);
    /// Gives a permit back, exactly once for each permit taken.
    void release(const permit& used, const permit_result& result, steady_time now);

    /// Takes kinds permit_request, permit_grant and permit_release from an authenticated peer.
    void on_message(boot_id from, message_kind kind, std::string_view payload, steady_time now);
    void tick(steady_time now);

    /// @param wall_now calendar time, from which the item's expiry counts.
    /// @return the table of the own servers as a gossip item, if it is time to spread it.
    std::optional<gossip_item> take_table_update(steady_time now, wall_time wall_now);
    /// Spreads the table again and again for a while, for a VM that has just joined and knows none; a single item may
    /// miss it, as tables are not repaired by exchanges.
    void repeat_table(steady_time now) { repeat_until_ = now + repeat_time; }
    bool repeats_table(steady_time now) const { return repeat_until_ && now < *repeat_until_; }
    /// Takes in another owner's table. A former owner's table may arrive last, so only what the server's owner by this
    /// VM's view says of it counts, or anybody's word on a server of which nothing is known.
    /// @param sender the name of the gossip item. @return false if it is malformed.
    bool on_table(std::string_view sender, std::string_view bytes, steady_time now);
    const load_table& table() const { return table_; }

    /// The own servers: polls that are due, and their results.
    permit_owner& owner() { return owner_; }
    const permit_owner& owner() const { return owner_; }
    const permit_holder& holder() const { return holder_; }
    /// @return the VM that owns a server by this VM's view.
    std::optional<boot_id> owner_of_server(server_key server) const;
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
    std::vector<server_table_entry> spread_table_;
    std::optional<steady_time> spread_at_;
    static constexpr std::chrono::seconds repeat_time{20};
    std::optional<steady_time> repeat_until_;
};

} // namespace agatespar
