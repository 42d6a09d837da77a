// The holder's side of permits: what this VM may start now, and what it asks the owners for.
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
    /// How long a request for permits may stay unanswered.
    std::chrono::milliseconds request_timeout{500};
    /// Permits kept in store for one server at most.
    std::uint32_t max_store{8};
    /// How far back the rate of requests to a server is remembered.
    std::chrono::milliseconds rate_window{4000};
    /// Permits are kept in store for the requests that are expected within this time.
    std::chrono::milliseconds store_horizon{1000};
    /// How long a warm server's permit may serve the next request after one ended under it.
    std::chrono::milliseconds reuse_time{1000};
    /// Requests that one permit serves at most, so that its owner hears of their results.
    std::uint16_t max_uses{8};
    /// A longer gap between calls means that this process was paused.
    std::chrono::milliseconds pause_threshold{1500};
    /// A server that was not used for so long is forgotten.
    std::chrono::milliseconds forget_after{60'000};
};

struct permit_holder_counters {
    std::uint64_t acquired_from_store{0};
    std::uint64_t acquired_by_request{0};
    std::uint64_t denied{0};
    std::uint64_t timeouts{0};
    std::uint64_t late_grants{0};
    std::uint64_t lapsed_unused{0};
};

/// The load of a server as its owner last told it beside a grant.
struct granted_load {
    std::uint16_t limit{0};
    std::uint16_t in_force{0};
    steady_time at;
};

/// Gets the permit, or the reason why there is none; the error is always "not run".
using permit_callback = std::function<void(outcome<permit>)>;

/// Holds this VM's permits. Messages to owners go out through a function, at once.
class permit_holder {
public:
    /// Sends a message to a VM; one that can't be sent is lost.
    using send_function = std::function<void(boot_id, message_kind, std::string)>;

    permit_holder(send_function send, permit_holder_settings settings = {})
        : settings_(settings), send_(std::move(send))
    {
    }

    /// Takes a permit from the store. Allocates nothing. @return nothing if none is held.
    /// @param owner the server's owner by this VM's view; permits of others are void.
    std::optional<permit> try_acquire(server_key server, boot_id owner, steady_time now);
    /// Asks a server's owner for a permit. @param alone for a request that must run with nothing else.
    /// @param callback called later, with the permit or the refusal, never from within this call.
    void request_permit(server_key server, boot_id owner, bool alone, steady_time now, permit_callback callback);
    /// Gives a permit back, once, or keeps it for the next request to its server.
    /// @param result how its work ended, or `unused`. @param reusable false if its owner is not the owner any more, or
    /// the zone is out of service.
    void release(const permit& used, const permit_result& result, bool reusable, steady_time now);
    /// Makes the permits of a server void, because its owner changed, if only for a moment.
    void void_server(server_key server);
    /// Makes all permits void: no further request starts under them.
    void void_all();
    /// @return the permits in store for a server, which a decision may prefer as they cost no message.
    std::uint32_t held(server_key server, steady_time now) const;
    /// @return a server for which a permit is in store, if there is one.
    std::optional<server_key> any_held(steady_time now) const;
    /// Asks for permits in store if the server is used often enough. To be called after an acquire.
    void refill(server_key server, boot_id owner, steady_time now);

    void on_grant(boot_id owner, const permit_grant_message& grant, steady_time now);
    /// Call about every 100 ms: drops lapsed permits and overdue requests, and sends collected results.
    void tick(steady_time now);

    /// @return the load last told by the owner, if it told any.
    std::optional<granted_load> load_of(server_key server) const;
    /// @return the permits under which work runs now.
    std::size_t running() const;
    const permit_holder_counters& counters() const { return counters_; }

private:
    /// A request to an owner that is not answered yet; without callback it is for the store.
    struct asked_round {
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
        std::vector<asked_round> asked;
        std::vector<finished_by_owner> finished;
        double rate_per_second{0.0};
        steady_time last_use;
        std::optional<granted_load> load;
        bool single_use{true};
    };

    held_server& entry(server_key server);
    void note_use(held_server& held, steady_time now) const;
    std::uint32_t store_shortfall(const held_server& held, steady_time now) const;
    void ask(server_key server, held_server& held, boot_id owner, permit_request_message request, steady_time now,
             permit_callback callback);
    void flush(server_key server, held_server& held);
    void give_back(held_server& held, const permit& given, const permit_result& result) const;
    void drop_store(held_server& held, boot_id owner) const;
    static void end_reuse(held_server& held, boot_id owner);
    void void_permits(held_server& held) const;
    void notice_pause(steady_time now);
    void drop_lapsed(held_server& held, steady_time now);
    void take_grant(held_server& held, boot_id owner, const permit_grant_message& grant, const asked_round& asked,
                    steady_time now, std::vector<permit>& permits);
    static bool holds(const held_server& held, const permit& given);
    void answer_audit(boot_id owner, const permit_grant_message& audit, held_server* held);

    permit_holder_settings settings_;
    send_function send_;
    std::unordered_map<server_key, held_server> servers_;
    permit_holder_counters counters_;
    std::uint32_t last_round_{0};
    std::optional<steady_time> last_call_;
};

} // namespace agatespar
