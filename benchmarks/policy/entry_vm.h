// One simulated entry VM: a view that lags behind, and the production decision code, called as the daemon calls it.
#pragma once

#include "simulation.h"

#include <agatespar/cascade/planner.h>
#include <agatespar/cascade/traffic.h>
#include <agatespar/routing/admission.h>
#include <agatespar/routing/answer_counts.h>
#include <agatespar/routing/decision.h>
#include <agatespar/routing/retry_budget.h>
#include <agatespar/routing/version_guard.h>
#include <agatespar/routing/view.h>

#include <map>
#include <unordered_map>
#include <vector>

namespace agatespar::bench {

class entry_vm {
public:
    entry_vm(simulation& sim, std::size_t zone, std::size_t boot);

    std::size_t zone() const { return zone_; }
    bool stopped_by_guard(version_index version) const { return view_.versions[version.value()].stopped_by_guard; }
    /// Handles a request from a caller.
    void receive(const request_pointer& request);
    /// Handles a request that a VM of another zone forwarded.
    void receive_forwarded(const request_pointer& request);

    // Notifications, which arrive with a delay.
    void on_load_reports();
    void on_zone_summaries(const std::vector<zone_view>& zones);
    void on_cache_event(std::size_t server, std::uint64_t session, double tokens);
    void merge_from(const entry_vm& other);
    void set_zone_in_service(std::size_t zone, bool in_service) { view_.zones[zone].in_service = in_service; }
    void set_zone_partitioned(std::size_t zone, bool partitioned);
    void set_share(version_index version, double share);
    void withdraw(version_index version);
    /// Runs once a second: updates the quality estimates, the plans and the version guards.
    void tick();

private:
    /// The state of a running attempt.
    struct attempt {
        std::size_t local{0};
        std::uint64_t report_round{0};
        double predicted_ms{0};
        double slowdown{1};
        steady_time sent;
    };

    void build_view();
    void make_guards();
    void probe_rating();
    void plan(live_request& request);
    void fill_route(live_request& request);
    void route(const request_pointer& request);
    /// Dispatches or forwards the request if a server has capacity.
    /// @param last set to the last decision, or to the reason for which there was none.
    /// @return whether the request was dispatched or forwarded.
    bool try_route(const request_pointer& request, outcome<decision>& last);
    bool execute_decision(const request_pointer& request, const decision& chosen);
    std::optional<std::size_t> baseline_server(const live_request& request);
    void route_baseline(const request_pointer& request);
    bool route_to_fallback(const request_pointer& request);
    void wait_or_shed(const request_pointer& request, const error& reason);
    void drain_queue();
    void poll_queue();
    void dispatch(const request_pointer& request, std::size_t local, double predicted_ms);
    void on_end(const request_pointer& request, const attempt& sent, job_end end, double tokens_done);
    void on_complete(const request_pointer& request, version_index version);
    void on_failure(const request_pointer& request, std::size_t local, job_end end, double tokens_done);
    void retry(const request_pointer& request, run_state ran);
    void deliver(const request_pointer& request, version_index version, bool truly_good);
    void schedule_rating(version_index version, std::size_t request_class, bool truly_good);
    void pin(session_state& session, version_index version);
    double service_ms(const live_request& request, version_index version) const;
    double expected_output(std::size_t request_class) const;
    int reserved_slots(std::size_t request_class) const;
    std::size_t global(std::size_t local) const { return globals_[local]; }

    simulation& sim_;
    std::size_t zone_;
    boot_id boot_;
    routing_view view_;
    std::vector<std::size_t> globals_;
    std::unordered_map<std::size_t, std::size_t> locals_;
    std::uint64_t report_round_{0};
    std::vector<std::size_t> class_priority_;
    std::map<std::pair<std::size_t, std::uint64_t>, request_pointer> queue_;
    std::uint64_t last_queued_{0};
    bool polling_{false};
    admission admission_;
    retry_budget retries_;
    answer_counts counts_;
    quality_estimates quality_;
    cascade_planner planner_;
    std::vector<version_guard> guards_;
    traffic_counts traffic_;
    std::unordered_map<std::uint64_t, int> crash_counts_;
    bool rating_seen_{true};
    std::size_t next_server_{0};
    int ticks_{0};
};

} // namespace agatespar::bench
