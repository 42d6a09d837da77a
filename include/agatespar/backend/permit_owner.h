// The owner's side of permits: for each server that this VM owns, who may run how much on it.
#pragma once

#include <agatespar/backend/messages.h>
#include <agatespar/backend/server_limit.h>
#include <agatespar/support/clock.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace agatespar {

/// One backend server of this VM's zone, from the VM list and the configuration.
struct backend_server {
    server_key key;
    std::uint32_t cold_slots{1};
    std::uint32_t slots{1};
    bool leaving{false};
};

struct permit_owner_settings {
    limit_settings limits;
    /// How long an unused permit may be used.
    std::chrono::milliseconds warm_lifetime{2000};
    std::chrono::milliseconds cold_lifetime{1000};
    /// A new owner grants nothing for this long: the old owner's permits lapse, and the last VM learns of the change.
    std::chrono::milliseconds handover_wait{5000};
    /// A permit above the cold limit needs a load report no older than this.
    std::chrono::milliseconds report_validity{4500};
    std::chrono::milliseconds poll_interval{3000};
    /// How long work of unknown holders on a warm server counts against the limit.
    std::chrono::milliseconds unknown_work_lapse{30'000};
    /// Permits that are given back neither used nor unused are asked after.
    std::chrono::milliseconds audit_interval{30'000};
    std::chrono::milliseconds cold_audit_interval{3000};
    /// Allowance for clocks that run at unlike speeds, and for messages on their way.
    std::chrono::milliseconds margin{200};
    /// A longer gap between calls means that this process was paused.
    std::chrono::milliseconds pause_threshold{1500};
    /// How long a server stays closed to others for a request that must run alone.
    std::chrono::milliseconds alone_reservation{10'000};
    /// The share of a warm limit that may be given in store.
    double extra_share{0.75};
};

/// A message of an owner to one holder.
struct owner_notice {
    boot_id to;
    permit_grant_message message;
};

struct permit_owner_counters {
    std::uint64_t granted{0};
    std::uint64_t refused_full{0};
    std::uint64_t refused_closed{0};
    std::uint64_t refused_not_owner{0};
    std::uint64_t turned_cold{0};
    std::uint64_t takeovers{0};
    std::uint64_t audits{0};
    std::uint64_t reclaimed{0};
};

/// What an owner knows of one of its servers, for status and metrics.
struct owned_server_status {
    server_key key;
    std::uint32_t limit{0};
    std::uint32_t in_force{0};
    std::uint32_t queued{0};
    bool warm{false};
    bool reachable{false};
    bool taking_over{false};
    std::optional<server_start_id> start;
};

/// Grants permits such that those in force never exceed a server's limit by a grant.
class permit_owner {
public:
    explicit permit_owner(permit_owner_settings settings = {}) : settings_(settings) {}

    /// Sets the servers that this VM owns by its view of the zone. New ones are taken over with a wait.
    void set_owned(std::span<const backend_server> servers, steady_time now);
    /// @param in_service false while operators have taken the zone out. @param majority whether this VM sees most
    /// members.
    void set_standing(bool in_service, bool majority, steady_time now);
    /// @param earlier the limit that the zone's table last showed for a start of the server.
    void hint_limit(server_key server, std::uint32_t earlier, std::uint16_t start_tag);

    /// @param polled when the poll was sent, on this VM's clock.
    void on_report(server_key server, const load_report& report, steady_time polled, steady_time now);
    /// A poll got no answer.
    void on_poll_failed(server_key server, steady_time now);
    permit_grant_message on_request(boot_id holder, const permit_request_message& request, steady_time now);
    void on_release(boot_id holder, const permit_release_message& release, steady_time now);
    /// Takes over all servers anew, because other VMs may have owned them meanwhile.
    void start_over(steady_time now);
    /// A member died or left: its running work is unknown from now on.
    void on_holder_gone(boot_id holder, steady_time now);

    /// Call about every 100 ms. @return revocations and audits to send.
    std::vector<owner_notice> tick(steady_time now);
    /// @return the servers whose load is to be asked now.
    std::vector<server_key> take_due_polls(steady_time now);

    std::vector<owned_server_status> status() const;
    std::optional<owned_server_status> status(server_key server) const;
    bool owns(server_key server) const { return status(server).has_value(); }
    const permit_owner_counters& counters() const { return counters_; }

private:
    struct grant {
        boot_id holder;
        steady_time issued;
        /// After this the holder can't start work under it any more.
        steady_time lapsed;
        /// The server's epoch when it was given.
        std::uint32_t epoch{0};
    };
    struct owned_server {
        backend_server server;
        /// A server that was owned before keeps its entry until all its permits are given back: it may return.
        bool owned{true};
        server_limit limit;
        /// Counts how often the server turned cold: results of work let in before say nothing about it any more.
        std::uint32_t epoch{0};
        steady_time grants_from;
        std::map<permit_number, grant> grants;
        /// Work that may run without a permit of this owner: an earlier owner's, or that of holders gone.
        std::uint32_t unknown_work{0};
        /// Reports sampled before this say nothing about unknown work.
        steady_time unknown_from;
        /// Since the takeover no report has shown yet what runs.
        bool awaits_report{true};
        /// Work seen in reports beyond all that is accounted for.
        std::uint32_t excess{0};
        std::vector<steady_time> recent_ends;
        std::optional<steady_time> sampled;
        std::uint32_t queued{0};
        bool reachable{false};
        bool reported_leaving{false};
        std::optional<permit_number> alone;
        std::optional<boot_id> reserved_for;
        steady_time reserved_until;
        steady_time next_poll;
        steady_time next_audit;
        bool revoke{false};
        std::uint32_t hinted_limit{0};
        std::uint16_t hinted_tag{0};
    };

    void notice_pause(steady_time now);
    void start_takeover(owned_server& owned, steady_time now);
    static std::uint32_t in_force(const owned_server& owned);
    std::uint32_t limit_now(const owned_server& owned, steady_time now) const;
    permit_verdict judge(const owned_server& owned, steady_time now) const;
    std::uint32_t grantable(owned_server& owned, boot_id holder, const permit_request_message& request,
                            steady_time now);
    void finish(owned_server& owned, boot_id holder, std::span<const finished_permit> finished, steady_time now);
    void note_turned_cold(owned_server& owned);
    void account_report(owned_server& owned, const load_report& report, steady_time sampled);
    void forget_unknown(owned_server& owned, steady_time now) const;
    void revoke_unused(owned_server& owned, steady_time now, std::vector<owner_notice>& notices) const;
    void audit(owned_server& owned, steady_time now, std::vector<owner_notice>& notices);
    permit_grant_message describe(const owned_server& owned, permit_verdict verdict, steady_time now) const;

    permit_owner_settings settings_;
    std::map<server_key, owned_server> servers_;
    permit_owner_counters counters_;
    std::uint32_t last_number_{0};
    bool in_service_{true};
    bool majority_{true};
    std::optional<steady_time> last_call_;
};

} // namespace agatespar
