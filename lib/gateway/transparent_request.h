// Handles one transparent request: validates it, sends attempts to backend servers, and returns exactly one answer.
#pragma once

#include <agatespar/backend/crash_guard.h>
#include <agatespar/gateway/event_pace.h>
#include <agatespar/gateway/event_splitter.h>
#include <agatespar/gateway/gateway.h>
#include <agatespar/gateway/request_report.h>
#include <agatespar/gateway/service_queues.h>
#include <agatespar/gateway/silence.h>

#include <initializer_list>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace agatespar {

/// Maximum number of servers that one request is sent to, including those that reject it or can't be reached. The
/// number of runs, i.e. executions on a server, is limited separately by the route.
inline constexpr int max_sends = 5;
/// No attempt is started with less time than this left before the deadline, as no server answers faster.
inline constexpr std::chrono::milliseconds min_attempt_time{10};

/// A server that is up answers a probe within some milliseconds; the retransmission of a lost packet takes longer than
/// this.
inline constexpr std::chrono::milliseconds probe_timeout{150};

class transparent_request : public std::enable_shared_from_this<transparent_request> {
public:
    transparent_request(gateway& owner, std::shared_ptr<server_exchange> exchange);
    transparent_request(const transparent_request&) = delete;
    transparent_request& operator=(const transparent_request&) = delete;
    ~transparent_request();

    void start();
    /// Ends the request at this time, if it would end later.
    void limit_time(steady_time end);

private:
    /// What is known for certain about all attempts so far: whether any server may have executed the request.
    enum class progress {
        nothing_ran,
        may_have_run,
    };

    /// Validates the request and resolves its route, client account, service and model; answers an error otherwise.
    /// @return whether the request can be sent to a server.
    bool resolve_request();
    void choose_version();
    void send_attempt();
    /// Sends the request to the server that was picked.
    void start_attempt();
    std::shared_ptr<fleet_server> pick_server();
    /// @return whether servers of other zones are preferred for this request.
    bool is_zone_avoided(const zone_name& zone) const;
    std::shared_ptr<fleet_server> pick_server_except(std::span<const server_name> excluded);
    /// @return the index of a server without a free slot whose own queue is short enough, or nothing.
    std::optional<std::size_t> pick_queueing_server(std::span<const std::shared_ptr<fleet_server>> servers) const;
    /// Lets the request wait until a server has room, or refuses it if that takes too long.
    /// @return whether it waits or was refused; false if it may not wait.
    bool wait_for_room();
    queued_request describe_queued() const;
    /// @return hash of what the request requires of a server.
    std::uint64_t hash_of_need() const;
    /// @return whether requests that would be sent to the same servers wait, so that this one has to wait its turn.
    bool must_queue() const;
    /// Sends the waiting request if a server has room. @return whether the request has left the queue.
    bool start_from_queue();
    void leave_queue(const char* outcome);
    /// Refuses the request if the last choice of a server found that none can be reached. @return whether it did.
    bool refuse_if_unreachable();
    /// Ends a request for which no server has room.
    void refuse_for_room(const char* reason, std::optional<std::chrono::milliseconds> retry_after = std::nullopt);
    /// Tells the queue of the service that the current attempt has ended.
    void note_place_free();
    attempt_metadata describe_attempt(const fleet_server& server) const;
    /// Subtracts the request's prompt from the server's unread tokens: the server has begun to answer or never will, so
    /// the prompt no longer delays other requests there.
    void release_unread_tokens();
    void on_head(const http_answer_head& head);
    void on_body(std::string_view bytes);
    /// Reserves room for a plain answer of known length.
    void expect_answer_length(const http_answer_head& head);
    /// Appends to the plain answer. Pauses its server if there is no room.
    void buffer_answer(std::string_view bytes);
    /// Reserves room for more bytes of the plain answer. Pauses its server until there is room.
    void reserve_answer(std::size_t more);
    void retry_reservation(std::size_t more, steady_time paused_at);
    /// Reserves room, whether it fits or not, and reads on.
    void resume_answer(std::size_t more);
    /// Restarts the measurement of how long the server has sent nothing.
    void record_progress();
    void on_done();
    void on_failed(const send_failure& failure);
    /// Retries after a failed attempt, or ends the request. @param sent the request may have reached the server.
    void retry_after_failure(bool sent);
    void on_not_run(const answer_metadata& metadata);
    void schedule_deadline();
    void on_deadline();
    waiting_request describe_waiting() const;
    /// Schedules the next check of whether the server has stopped sending.
    void schedule_silence_check();
    void check_silence();
    /// Checks with a separate request whether the server is up. Abandons it if it doesn't answer in time.
    void probe_server();
    /// Counts the current attempt as a run, once.
    void count_run();
    /// Stops waiting for the server and retries on another one, if the limits on retries permit that;
    /// keeps waiting otherwise.
    /// @param is_up the server answers probes; its silence says something about its version then.
    void abandon_server(bool is_up);
    /// Starts a health probe of the server. @param callbacks called besides noting what the answer says.
    outcome<void> start_probe(std::function<void()> answered, std::function<void(const send_failure&)> failed);
    void on_client_disconnected();

    /// @return what may be the cause if a server crashes while it runs the request.
    const crash_suspects& suspects();
    /// @return whether the attempt ended as if its server had crashed before it began to answer.
    bool is_possible_crash(const send_failure& failure) const;
    /// Finds out whether the attempt's server has crashed, records it, and then retries the request or ends it.
    void confirm_crash();
    void probe_crashed_server(int probes_left);
    void on_crash_probe_failed(const send_failure& failure, int probes_left);
    void record_crash();
    /// Refuses a request that crashes its servers, and delays one while that is being settled.
    /// @return whether it was refused or delayed, so that it must not be sent now.
    bool contain_crashes();
    /// Withdraws a request from its server if it has become known that such requests crash their servers.
    bool refuse_if_guilty();
    /// @param until when the verdict ends, if it is that of all requests like this one.
    void refuse_crashing_request(std::optional<steady_time> until);
    void note_answer_begun();
    /// Records the time to the first event of the largest model, or how long the request has waited for it.
    void record_model_latency(duration first_event);
    /// @return whether the answer's confidence is too low and a larger model can still answer in time.
    bool needs_larger_model(const answer_metadata& metadata) const;
    /// @return what the current attempt has shown so far about its server's version.
    observed_answer describe_observed(const rollout_watch& watch, bool good) const;
    /// Reports an answer or failure to the service's roll-out, at most once per attempt.
    void record_rollout_result(bool good);
    /// Reports the current attempt to the roll-out as bad if it is already known to be slow.
    void record_if_slow();
    /// Schedules record_if_slow() for when the answer has taken too long to begin.
    void schedule_slow_check();
    std::optional<duration> zone_round_trip() const;
    std::optional<duration> network_time() const;
    std::string answer_group() const;

    /// Retries on another server if the route, the number of runs, the remaining time and the retry budget permit it.
    /// @return whether a retry was scheduled.
    bool try_retry(retry_reason kind, const char* reason);
    /// @return whether the route and the limits on runs and sends permit another attempt.
    bool retry_permitted() const;
    /// Forwards the server's answer, or replaces it if its status promises what the server did not prove.
    void deliver_buffered_answer();
    /// Answers with an error of the router's own and ends the request.
    /// @param retry_after with status 503, when the client may come again; without it, soon.
    void answer_error(int status, const char* reason,
                      std::optional<std::chrono::milliseconds> retry_after = std::nullopt);
    /// Closes the client's connection within the answer, so that the client sees that the answer is incomplete.
    void abort_answer(const char* reason);
    void record_attempt(const fleet_server& server, std::size_t candidates);
    void cancel_timers(std::initializer_list<std::optional<timer_id>*> timers);
    /// Cancels what is left of the current attempt and releases its server.
    /// @param outcome result of the attempt for the request's report, unless one was recorded already.
    void end_attempt(const char* outcome);
    /// Ends the request and reports it.
    /// @param status of the answer, or 0 if the client did not get a complete one.
    void finish(int status, const char* reason);
    std::chrono::milliseconds time_left() const;

    gateway& owner_;
    std::shared_ptr<server_exchange> exchange_;
    std::shared_ptr<const service_map> map_;
    const service_route* route_{nullptr};
    service_name service_;
    request_metadata metadata_;
    std::optional<client_account_name> account_;
    /// Priority of the account if it has one, else of the route; 0 is the highest.
    int priority_{0};
    std::uint64_t account_hash_{0};
    std::optional<queue_ticket> ticket_;
    std::optional<model_name> model_;
    std::size_t model_tier_{0};
    version_choice version_{version_choice::any};
    /// Target of the order under which the version was chosen, if there was one.
    std::optional<version_name> version_target_;
    steady_time deadline_;
    std::optional<timer_id> deadline_timer_;
    std::optional<timer_id> retry_timer_;
    std::optional<timer_id> silence_timer_;
    std::optional<timer_id> slow_timer_;
    std::shared_ptr<client_call> probe_;
    /// Time of the last progress of the attempt, and the number of probes that its server has answered since then.
    steady_time last_progress_at_;
    int answered_probes_{0};
    /// The client reads too slowly, so reading from its server is paused.
    bool paused_for_client_{false};
    /// Set while the reading of a plain answer is paused for lack of memory.
    std::optional<timer_id> memory_timer_;
    int sends_{0};
    /// The servers that may have executed the request, one for each attempt that counts as a run.
    std::vector<std::shared_ptr<fleet_server>> runs_;
    bool run_counted_{false};
    progress progress_{progress::nothing_ran};
    std::vector<server_name> tried_;
    /// Zones where a server did not take this request's connection in time, as if the zone were cut off.
    std::set<zone_name> silent_zones_;
    /// At the last choice of a server, the zones of all eligible ones were unreachable.
    bool no_server_reachable_{false};
    /// The servers that failed with a smaller model. They are asked again only if there is no other.
    std::vector<server_name> failed_before_;
    std::optional<crash_suspects> suspects_;
    /// Servers that crashed before they had begun to answer the request.
    int crashes_{0};

    std::shared_ptr<fleet_server> server_;
    std::shared_ptr<client_call> call_;
    steady_time attempt_started_at_;
    /// The result of this attempt has been reported to the roll-out of its server's version.
    bool rollout_result_recorded_{false};
    std::uint64_t unread_tokens_{0};
    /// Events of earlier attempts, whose stream this attempt resumes.
    std::size_t events_before_attempt_{0};
    event_pace pace_;
    /// The server was cold when the attempt began, so its pace says nothing about its version.
    bool sent_to_cold_server_{false};
    duration first_byte_{0};
    request_report report_;
    http_answer_head head_;
    budgeted_string body_;
    event_splitter events_;
    bool is_streaming_{false};
    bool answer_started_{false};
    bool ended_{false};
};

} // namespace agatespar
