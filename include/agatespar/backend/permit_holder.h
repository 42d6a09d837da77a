// The holder's side of permits: stores the permits of this VM, and requests more from the servers' owners.
#pragma once

#include <agatespar/backend/messages.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/outcome.h>
#include <agatespar/wire/message_kind.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace agatespar {

struct permit_holder_settings {
    /// A request for permits fails if it is not answered within this time.
    std::chrono::milliseconds request_timeout{500};
    /// Maximum number of permits kept in store for one server.
    std::uint32_t max_store{8};
    /// Time constant of the exponentially decaying average of a server's request rate.
    std::chrono::milliseconds rate_window{4000};
    /// The store is sized for the requests that are expected within this time.
    std::chrono::milliseconds store_horizon{1000};
    /// How long a warm server's permit may be reused after a request completed successfully under it.
    std::chrono::milliseconds reuse_timeout{1000};
    /// Maximum number of successful requests after which a permit is kept for reuse; bounds the delay until its owner
    /// receives their results.
    std::uint16_t max_uses{8};
    /// A gap between calls that exceeds this means that the process was paused.
    std::chrono::milliseconds pause_threshold{1500};
    /// The state of a server that was not used for this long is erased.
    std::chrono::milliseconds idle_retention{60'000};
};

struct permit_holder_counters {
    std::uint64_t acquired_from_store{0};
    std::uint64_t acquired_by_request{0};
    /// Requests with a callback that were answered without a usable permit.
    std::uint64_t denied{0};
    std::uint64_t timeouts{0};
    /// Grants of which at least one permit arrived too late to be used.
    std::uint64_t late_grants{0};
    std::uint64_t expired_unused{0};
};

/// The load of a server as its owner last reported it with a grant.
struct granted_load {
    std::uint16_t limit{0};
    std::uint16_t in_force{0};
    steady_time at;
};

/// Receives the permit, or the reason why there is none; the error's run state is always `not_run`.
using permit_callback = std::function<void(outcome<permit>)>;

/// Holds this VM's permits. Messages to owners are passed to the send function immediately.
class permit_holder {
public:
    /// Sends a message to a VM; one that can't be sent is lost.
    using send_function = std::function<void(boot_id, message_kind, std::string)>;

    permit_holder(send_function send, permit_holder_settings settings = {})
        : settings_(settings), send_(std::move(send))
    {
    }

    /// Takes a permit from the store. Allocates no memory. @return the permit, or nothing if none is usable.
    /// @param owner the server's owner in this VM's view; permits from other owners are not used.
    std::optional<permit> try_acquire(server_key server, boot_id owner, steady_time now);
    /// Requests a permit from a server's owner. @param alone for a request that must not run concurrently with others.
    /// @param callback called later with the permit or the error, never from within this call.
    void request_permit(server_key server, boot_id owner, bool alone, steady_time now, permit_callback callback);
    /// Returns a permit to its owner, or keeps it for the next request to its server. Call once for each permit.
    /// @param result how its work ended, or `unused`. @param reusable false if the VM that granted it no longer owns
    /// the server, or the zone is out of service.
    void release(const permit& used, const permit_result& result, bool reusable, steady_time now);
    /// Invalidates the permits of a server after its owner changed, even if the change was only temporary.
    void invalidate_server(server_key server);
    /// Invalidates all permits: no further request starts under them.
    void invalidate_all();
    /// @return the number of usable permits in store for a server. A routing decision may prefer such a server, as no
    /// message is needed to acquire a permit.
    std::uint32_t held(server_key server, steady_time now) const;
    /// @return any server for which a usable permit is in store, if there is one.
    std::optional<server_key> any_held(steady_time now) const;
    /// Requests permits for the store if the server is used often enough. Call after an acquire.
    void refill(server_key server, boot_id owner, steady_time now);

    void on_grant(boot_id owner, const permit_grant_message& grant, steady_time now);
    /// Call about every 100 ms: returns expired permits, fails overdue requests, and sends collected results.
    void tick(steady_time now);

    /// @return the load last reported by the owner, if any.
    std::optional<granted_load> load_of(server_key server) const;
    /// @return the number of permits under which work is running.
    std::size_t running() const;
    const permit_holder_counters& counters() const { return counters_; }

private:
    /// A request to an owner that is not answered yet; one without a callback refills the store.
    struct pending_round {
        /// Number of the request, which its grant repeats; 0 stands for no request.
        std::uint32_t round{0};
        steady_time sent;
        permit_callback callback;
    };
    struct finished_by_owner {
        boot_id owner;
        finished_permit finished;
    };
    struct held_server {
        std::vector<permit> store;
        std::vector<permit> running;
        std::vector<pending_round> pending;
        std::vector<finished_by_owner> finished;
        double rate_per_second{0.0};
        steady_time last_use;
        std::optional<granted_load> load;
        bool single_use{true};
    };

    held_server& entry(server_key server);
    void record_use(held_server& held, steady_time now) const;
    std::uint32_t store_shortfall(const held_server& held, steady_time now) const;
    void send_request(server_key server, held_server& held, boot_id owner, permit_request_message request,
                      steady_time now, permit_callback callback);
    void flush(server_key server, held_server& held);
    void queue_result(held_server& held, const permit& given, const permit_result& result) const;
    void return_stored(held_server& held, boot_id owner) const;
    static void disable_reuse(held_server& held, boot_id owner);
    void invalidate_permits(held_server& held) const;
    void detect_pause(steady_time now);
    void return_expired(held_server& held, steady_time now);
    void accept_grant(held_server& held, boot_id owner, const permit_grant_message& grant, const pending_round& pending,
                      steady_time now, std::vector<permit>& permits);
    static bool holds(const held_server& held, const permit& given);
    /// Reports to an owner which of its permits this VM still holds.
    void answer_audit(boot_id owner, const permit_grant_message& audit, held_server* held);

    permit_holder_settings settings_;
    send_function send_;
    std::unordered_map<server_key, held_server> servers_;
    permit_holder_counters counters_;
    std::uint32_t last_round_{0};
    std::optional<steady_time> last_call_;
};

} // namespace agatespar
