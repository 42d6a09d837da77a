// The backend servers known to this VM, their estimated state, and the requests that this VM has in flight at each.
#pragma once

#include <agatespar/gateway/decaying_average.h>
#include <agatespar/gateway/fleet_records.h>
#include <agatespar/gateway/protocol.h>
#include <agatespar/support/clock.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>

namespace agatespar {

/// Whether the directory still has a server, and if not, why.
enum class directory_presence {
    listed,
    /// Its entry is gone from the store: the server has left, has ended, or could not reach the store.
    entry_gone,
    /// The server has started again since, or its name is another server's.
    replaced,
};

/// Half-life of the reported slowness, for a time constant of one second: single values are noise and change many times
/// a second.
inline constexpr std::chrono::milliseconds slowness_half_life{700};

/// A backend server and this VM's view of it. Its users share ownership, so it stays valid after the server was removed
/// from the directory.
struct fleet_server {
    server_record record;
    directory_presence presence{directory_presence::listed};
    /// The server itself has said in an answer that it is leaving, whatever its record says.
    bool says_leaving{false};
    steady_time cold_until;
    /// Requests of this VM that are in flight at the server.
    std::uint32_t in_flight{0};
    /// Prompt tokens of those requests of this VM whose answers have not begun.
    std::uint64_t unread_tokens{0};
    /// The load that the server reported last, the number of this VM's requests in flight at that time, and the time of
    /// the report.
    reported_load reported;
    std::uint32_t in_flight_at_report{0};
    steady_time reported_at;
    /// The slowness that the server reported, in percent of the usual time of work.
    decaying_average slowness_percent{slowness_half_life, 0, 0, {}};
    /// When this VM last received a byte of any answer from the server.
    steady_time last_received_at;
    /// When a health probe of the server last failed or timed out.
    steady_time probe_failed_at;
    /// When this VM last found that the server had crashed: a connection had ended, and new ones were refused.
    steady_time crashed_at;
    /// Consecutive failures that are attributed to the server itself.
    std::uint32_t failures{0};
    /// Until this time the server is chosen only if no other server is available.
    steady_time avoid_until;
    /// Send credits for the cold server that this VM has accrued and not used: the integral part counts complete
    /// credits, the fraction is the progress towards the next one.
    double cold_credits{0};
    steady_time cold_credits_updated_at;
};

/// @return whether the server may get new requests, by its record and by its own word.
bool accepts_requests(const fleet_server& server);

/// @return whether the server has certainly ended or been cut off, so that it no longer executes what it was sent:
/// another start of it is known, or the store has given it up and it does not answer this VM either. Its silence alone
/// shows neither.
bool has_ended(const fleet_server& server);

/// @param servers the servers that were sent a request and may have executed it.
/// @return how many of them count towards the limit on runs of the request's route: those that have not ended.
int count_runs(std::span<const std::shared_ptr<fleet_server>> servers);

/// @return the estimated number of running and waiting requests at a server: its last report, corrected by this VM's
/// own requests since then. The share of other VMs in the report decays with its age; otherwise a server that once
/// reported a full load would get no requests, and so could never send a newer report.
/// @param report_lifetime the age at which a report says nothing any more (see load_report_lifetime()).
std::uint32_t estimated_load(const fleet_server& server, duration report_lifetime, steady_time now);

/// @return the prompt processing that is queued before a new request, in units of running requests that would delay it
/// as much. @param report_lifetime as for estimated_load().
double estimated_backlog(const fleet_server& server, duration report_lifetime, steady_time now);

/// @return how long work takes at a server at present, relative to the usual time: the smoothed reports of the last
/// seconds; 1 if there are none.
double present_slowness(const fleet_server& server, steady_time now);

/// When servers whose entries have lapsed are removed.
struct directory_settings {
    /// How long a server whose entry lapsed during a store outage is kept after the store is back: the platform
    /// restores the entries of running servers within about two seconds.
    std::chrono::milliseconds lapse_grace{2500};
    /// Shorter outages are ignored: an entry lapses after three missed heartbeats of about one second each, so a
    /// shorter outage cannot be the cause of a lapse.
    std::chrono::milliseconds min_outage{1000};
};

class server_directory {
public:
    explicit server_directory(const directory_settings& settings = {}) : settings_(settings) {}

    /// Applies a server's own record. A new start time under a known name, another address or another service makes it
    /// a new server.
    void set(const server_record& record, steady_time now);
    /// @param phase computes this VM's phase in [0, 1) among all VMs that send to the cold server. Called when a server
    /// becomes cold.
    void set_cold_phase(std::function<double(const server_record& server)> phase) { cold_phase_ = std::move(phase); }
    /// Handles the removal of a server's entry. Shortly after a store outage the entry may only have lapsed, so the
    /// server is kept for the grace period.
    void remove(const server_name& name, steady_time now);
    /// Records that a server has said in an answer that it is leaving. This holds for that start of the server for as
    /// long as this process runs: neither a record that says otherwise nor the return of a lapsed entry ends it.
    /// @param record of the server that has answered.
    /// @return whether this is news.
    bool note_says_leaving(const server_record& record);
    /// Records that the store that holds the entries has stopped or resumed answering this VM.
    void note_store_lost(steady_time now) { store_lost_at_ = now; }
    void note_store_back(steady_time now);
    /// Removes servers whose grace period has ended, or whose entries did not lapse because of the outage.
    /// @return their names.
    std::vector<server_name> expire(steady_time now);

    const std::map<server_name, std::shared_ptr<fleet_server>>& all() const { return servers_; }
    /// @return whether any known server of this service and version accepts requests.
    bool serves(const service_name& service, const version_name& version) const;

private:
    directory_settings settings_;
    std::map<server_name, std::shared_ptr<fleet_server>> servers_;
    std::map<server_name, steady_time> lapsing_;
    /// The starts of servers that have said that they are leaving, and their order.
    std::map<server_name, server_record> said_leaving_;
    std::deque<server_name> said_leaving_order_;
    std::function<double(const server_record& server)> cold_phase_{[](const server_record&) { return 0.0; }};
    std::optional<steady_time> store_lost_at_;
    std::optional<steady_time> store_back_at_;
};

/// Records an answer of the server, with the load and slowness that it reports, if any. The server is no longer
/// avoided.
void note_answer(fleet_server& server, const answer_metadata& metadata, steady_time now);
/// Records a failed attempt. The server is avoided for a time that doubles with each consecutive failure.
void note_failure(fleet_server& server, steady_time now);

/// Consumes this VM's credit to send a request to a cold server. The credits of all VMs are spaced evenly. With many
/// VMs a credit that is not used soon expires; otherwise all VMs could use their saved credits within the same second.
/// @param rate requests per second that all VMs together may send.
/// @param vms number of VMs that share the rate.
/// @return whether the request may be sent.
bool take_cold_credit(fleet_server& server, double rate, double vms, steady_time now);

} // namespace agatespar
