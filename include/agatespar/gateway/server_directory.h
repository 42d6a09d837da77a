// The backend servers that this VM knows, what it believes of them, and what it has under way at each.
#pragma once

#include <agatespar/gateway/fleet_records.h>
#include <agatespar/gateway/protocol.h>
#include <agatespar/support/clock.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace agatespar {

/// A server and this VM's view of it. Held by those who use it, also after it has left.
struct fleet_server {
    server_record record;
    bool gone{false};
    steady_time cold_until;
    /// Requests of this VM that are under way there.
    std::uint32_t in_flight{0};
    /// Tokens of this VM's prompts there whose answers have not begun.
    std::uint64_t unread_tokens{0};
    /// The server's last report of its load, what this VM had under way there then, and when that was.
    reported_load reported;
    std::uint32_t in_flight_at_report{0};
    steady_time reported_at;
    /// When the last byte of any answer came from it.
    steady_time last_heard;
    /// When a probe of it last went unanswered.
    steady_time probe_failed_at;
    /// Failures in a row that speak against the server itself.
    std::uint32_t failures{0};
    /// Not chosen before this while others can be.
    steady_time avoid_until;
    /// Turns that this VM has had and not used to send a request to it while it is cold, and the part of the next one
    /// that has passed.
    double cold_turns{0};
    steady_time cold_refilled;
};

/// @return running and waiting requests at a server, from its last report and what this VM did since. What the report
/// tells of others counts less the older it is: a server that was full once is not asked, and so never reports again.
std::uint32_t estimated_load(const fleet_server& server, steady_time now);

/// @return the prompts that the server has to read before a new one, in requests that would delay it as much.
double estimated_backlog(const fleet_server& server, steady_time now);

/// How this VM's knowledge of servers is kept.
struct directory_settings {
    /// After the store's return, a server whose entry lapsed meanwhile is kept for this: the platform puts living
    /// servers back within about two seconds.
    std::chrono::milliseconds lapse_grace{2500};
    /// Entries lapse after three missed heartbeats of about a second; a shorter outage explains no lapse.
    std::chrono::milliseconds least_outage{1000};
};

class server_directory {
public:
    explicit server_directory(const directory_settings& settings = {}) : settings_(settings) {}

    /// Takes in what a server says of itself. A new start under an old name, or another address, is a new server.
    void set(const server_record& record, steady_time now);
    /// @param place of this VM's turn at a cold server among all VMs, in [0, 1). Asked when a server turns cold.
    void set_cold_place(std::function<double(const server_record& server)> place) { cold_place_ = std::move(place); }
    /// The server's entry is gone. Right after an outage of the store it may only have lapsed.
    void remove(const server_name& name, steady_time now);
    /// The store of the entries stopped to answer this VM, or answers it again.
    void note_store_lost(steady_time now) { store_lost_at_ = now; }
    void note_store_back(steady_time now);
    /// Removes servers whose grace is over. @return their names.
    std::vector<server_name> expire(steady_time now);

    const std::map<server_name, std::shared_ptr<fleet_server>>& all() const { return servers_; }
    /// @return whether a server of this service and version takes requests.
    bool serves(const service_name& service, const version_name& version) const;

private:
    directory_settings settings_;
    std::map<server_name, std::shared_ptr<fleet_server>> servers_;
    std::map<server_name, steady_time> lapsing_;
    std::function<double(const server_record& server)> cold_place_{[](const server_record&) { return 0.0; }};
    std::optional<steady_time> store_lost_at_;
    std::optional<steady_time> store_back_at_;
};

/// Judges zones as a whole: when several of a zone's servers can't be reached, the others there are behind the same
/// cut.
class zone_reach {
public:
    /// A server could not be reached, or fell silent.
    void note_unreachable(const fleet_server& server, steady_time now);
    /// A server answered, so its zone can be reached.
    void note_reached(const fleet_server& server);
    /// @return whether to choose servers of other zones first.
    bool is_avoided(const zone_name& zone, steady_time now) const;

private:
    struct zone_state {
        /// Servers that failed since one of the zone last answered, and when.
        std::map<server_name, steady_time> failed;
    };

    std::map<zone_name, zone_state> zones_;
};

/// Notes how an attempt at a server went.
void note_answer(fleet_server& server, const answer_facts& facts, steady_time now);
/// The server did not answer as a sound one does. It is avoided for a while that doubles with each failure in a row.
void note_failure(fleet_server& server, steady_time now);

/// Takes this VM's turn to send a request to a cold server. Turns of VMs follow each other evenly; of many VMs a turn
/// that is not used soon is lost, as all of them could use theirs in the same second.
/// @param rate requests a second that all VMs together may send. @param vms among which they are divided.
/// @return whether it may be sent.
bool take_cold_turn(fleet_server& server, double rate, double vms, steady_time now);

} // namespace agatespar
