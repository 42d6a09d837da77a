// The owner's side of permits: decides which VMs may run how many requests on each backend server that this VM owns.
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
    /// How long an unused permit remains valid.
    std::chrono::milliseconds warm_lifetime{2000};
    std::chrono::milliseconds cold_lifetime{1000};
    /// A new owner grants nothing for this long, so that the previous owner's permits expire and every VM receives the
    /// change of owner.
    std::chrono::milliseconds handover_delay{5000};
    /// Permits above the cold limit are granted only while the newest load report is no older than this.
    std::chrono::milliseconds report_validity{4500};
    std::chrono::milliseconds poll_interval{3000};
    /// How long work without a known permit holder counts against the limit of a warm server.
    std::chrono::milliseconds unknown_work_timeout{30'000};
    /// How often the holders of permits that were not returned are asked which ones they still hold.
    std::chrono::milliseconds audit_interval{30'000};
    std::chrono::milliseconds cold_audit_interval{3000};
    /// Allowance for clock drift between VMs and for message latency.
    std::chrono::milliseconds margin{200};
    /// A longer gap between two calls means that this process was paused, and starts a takeover of all servers.
    std::chrono::milliseconds pause_threshold{1500};
    /// How long a server is reserved for a holder whose request must run alone.
    std::chrono::milliseconds alone_reservation{10'000};
    /// Fraction of a warm server's limit up to which permits beyond the immediate need are granted.
    double extra_fraction{0.75};
};

/// A message from an owner to one permit holder.
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

/// An owner's view of one of its servers, for status and metrics.
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

/// Grants permits for the owned servers. No grant takes the number of permits in force above a server's limit; a limit
/// that is lowered later can fall below that number.
class permit_owner {
public:
    explicit permit_owner(permit_owner_settings settings = {}) : settings_(settings) {}

    /// Sets the servers that this VM owns according to its view of the zone. A newly owned server starts a takeover:
    /// nothing is granted on it until `handover_delay` has passed and a load report has arrived.
    void set_owned(std::span<const backend_server> servers, steady_time now);
    /// @param in_service false while operators have taken the zone out of service.
    /// @param majority whether this VM has contact with the majority of the zone's members.
    void set_zone_state(bool in_service, bool majority, steady_time now);
    /// Suggests a limit to use at the end of a takeover, if the server has not restarted since.
    /// @param earlier the limit last published in the zone's table.
    /// @param start_tag `start_tag_of` the server start for which that limit was published.
    void hint_limit(server_key server, std::uint32_t earlier, std::uint16_t start_tag);

    /// @param polled when the poll was sent, on this VM's clock.
    void on_report(server_key server, const load_report& report, steady_time polled, steady_time now);
    /// Handles a poll that got no answer: the server counts as cold and unreachable.
    void on_poll_failed(server_key server, steady_time now);
    permit_grant_message on_request(boot_id holder, const permit_request_message& request, steady_time now);
    void on_release(boot_id holder, const permit_release_message& release, steady_time now);
    /// Starts a new takeover of all servers, because other VMs may have owned them in the meantime.
    void restart_takeovers(steady_time now);
    /// Handles a member that crashed or left the zone: its permits count as unknown work from now on.
    void on_holder_gone(boot_id holder, steady_time now);

    /// Call about every 100 ms. @return revocations and audits to send.
    std::vector<owner_notice> tick(steady_time now);
    /// @return the servers to poll for a load report now.
    std::vector<server_key> take_due_polls(steady_time now);

    std::vector<owned_server_status> status() const;
    std::optional<owned_server_status> status(server_key server) const;
    bool owns(server_key server) const { return status(server).has_value(); }
    const permit_owner_counters& counters() const { return counters_; }

private:
    struct grant {
        boot_id holder;
        steady_time issued;
        /// After this time the holder can no longer start work under the permit.
        steady_time expires_at;
        /// The server's epoch when the permit was granted.
        std::uint32_t epoch{0};
    };
    struct owned_server {
        backend_server server;
        /// False for a server that is no longer owned. Its entry is kept until all its permits are returned, because
        /// this VM may become the owner again.
        bool owned{true};
        server_limit limit;
        /// Incremented each time the server turns cold. Results of work permitted in an earlier epoch do not change the
        /// limit.
        std::uint32_t epoch{0};
        steady_time grants_from;
        std::map<permit_number, grant> grants;
        /// Number of requests that may be running without a permit in `grants`: permitted by an earlier owner, or
        /// started by holders that are gone.
        std::uint32_t unknown_work{0};
        /// Only reports sampled at or after this time are used to update `unknown_work`.
        steady_time unknown_from;
        /// True from the start of a takeover until a report shows what the server is running.
        bool awaits_report{true};
        /// `unknown_work` plus the reported work that neither a permit nor a recent end accounts for; 0 if none.
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

    void restart_after_pause(steady_time now);
    void start_takeover(owned_server& owned, steady_time now);
    static std::uint32_t in_force(const owned_server& owned);
    std::uint32_t current_limit(const owned_server& owned, steady_time now) const;
    permit_verdict current_verdict(const owned_server& owned, steady_time now) const;
    std::uint32_t grantable(owned_server& owned, boot_id holder, const permit_request_message& request,
                            steady_time now);
    void return_permits(owned_server& owned, boot_id holder, std::span<const finished_permit> finished,
                        steady_time now);
    void on_turned_cold(owned_server& owned);
    void account_report(owned_server& owned, const load_report& report, steady_time sampled);
    void expire_unknown_work(owned_server& owned, steady_time now) const;
    void revoke_unused(owned_server& owned, steady_time now, std::vector<owner_notice>& notices) const;
    void audit(owned_server& owned, steady_time now, std::vector<owner_notice>& notices);
    permit_grant_message make_message(const owned_server& owned, permit_verdict verdict, steady_time now) const;

    permit_owner_settings settings_;
    std::map<server_key, owned_server> servers_;
    permit_owner_counters counters_;
    std::uint32_t last_number_{0};
    bool in_service_{true};
    bool majority_{true};
    std::optional<steady_time> last_call_;
};

} // namespace agatespar
