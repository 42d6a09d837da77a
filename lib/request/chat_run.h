// The execution of one chat request. Internal to lib/request.
#pragma once

#include <agatespar/request/admission.h>
#include <agatespar/request/answer_quality.h>
#include <agatespar/request/chat_service.h>
#include <agatespar/request/server_table.h>
#include <agatespar/routing/decision.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatespar {

/// Runs one request from admission to its end. Callbacks that refer to it keep it alive.
class chat_run : public std::enable_shared_from_this<chat_run> {
public:
    chat_run(const chat_dependencies& dependencies, chat_request request, answer_sink sink, bool forwarded);

    void start();
    void cancel();

private:
    /// The attempt that is currently running.
    struct running_attempt {
        attempt_id id;
        server_id server;
        route_target target;
        permit granted;
        std::string server_url;
        std::optional<server_start_id> start;
        duration predicted_total{0};
        trace_context span;
        steady_time started;
        std::optional<steady_time> first_token;
        cancel_handle cancel;
    };

    /// A complete answer of the plan's first step, which is withheld until it is rated.
    struct withheld_answer {
        version_id version;
        std::string text;
        engine_finish finish;
    };

    void open_session();
    void route();
    route_request make_route_request() const;
    request_class_name class_name() const { return request_class_name{admitted_.request_class}; }
    void make_plan();
    version_set allowed_versions() const;
    void handle_text(std::string_view text, std::uint64_t end);
    void rate(const engine_finish& finish);
    void handle_rating(const outcome<rating>& rating_result, const engine_finish& finish);
    void begin_second_step();
    void send_withheld_answer();
    void rate_sent_answer();
    void explain(const outcome<decision>& result, const explanation& explained);
    void forward(const decision& chosen);
    answer_sink make_forward_sink();
    void handle_forward_end(const answer_end& end);
    void handle_forward_error(const error& problem);
    void acquire(const decision& chosen);
    void begin_attempt(const server_id& server, const route_target& target, const permit& granted, duration predicted);
    engine_callbacks make_callbacks(attempt_id id);
    bool is_current(attempt_id id) const;
    void handle_tokens(const engine_tokens& tokens);
    void handle_end(const engine_finish& finish);
    void handle_error(const error& problem);
    void end_attempt(work_result result, const std::string& problem);
    void check_for_crash(const running_attempt& broken, const error& problem);
    void record_crash(bool alone);
    void retry_or_fail(const error& problem);
    void fail_when_verdict_propagated(const error& problem);
    void exclude(const std::vector<server_id>& tried, route_request& route) const;
    void wait_or_fail(const error& problem);
    void stop_waiting();
    void send_head(const version_id& version);
    void bill_and_finish(const std::string& finish_reason);
    void bill_partial(usage_outcome result);
    usage_record make_bill(usage_outcome result) const;
    void add_cost(const running_attempt& attempt);
    void fail(const error& problem);
    void close();
    steady_time now() const { return dependencies_.loop->time().now(); }
    /// @return not_run if every attempt and forward so far has ended with the proof that it did not run.
    run_state run_state_so_far() const;

    const chat_dependencies& dependencies_;
    chat_request request_;
    answer_sink sink_;
    bool forwarded_;
    bool closed_{false};
    bool head_sent_{false};
    admitted_chat admitted_;
    session_state session_;
    trace_context trace_;
    span_id trace_parent_;
    wall_time started_;
    steady_time deadline_;
    timer_id deadline_timer_;
    /// Servers whose attempts failed.
    std::vector<server_id> failed_servers_;
    /// Servers whose owners refused a permit since the last waiting interval.
    std::vector<server_id> refusing_servers_;
    /// Hash of the content, to which crashes are attributed.
    crash_subject fingerprint_;
    /// Time by which the verdict on a crash has reached all VMs of the zone.
    steady_time verdict_propagated_at_;
    /// Number of routing decisions since the last waiting interval.
    std::uint32_t routes_{0};
    std::optional<steady_time> waiting_since_;
    bool is_waiting_{false};
    std::uint32_t attempts_{0};
    /// An attempt or forward that has ended may have run.
    bool may_have_run_{false};
    std::optional<running_attempt> attempt_;
    cancel_handle forward_cancel_;
    std::optional<version_id> answering_version_;
    std::optional<version_id> moved_from_;
    std::optional<serving_plan> plan_;
    /// The plan's second step has begun, or the withheld answer of the first step was sent.
    bool second_step_{false};
    /// A VM of another zone gave the answer.
    bool remote_answer_{false};
    /// The answer so far, for its rating. A withheld answer is not sent before it is rated.
    std::string answer_;
    /// The answer of the first step, which is sent if the second step fails.
    std::optional<withheld_answer> first_step_answer_;
    /// Tokens of the answer received so far, by this and earlier attempts.
    std::uint64_t delivered_tokens_{0};
    token_count prompt_tokens_;
    /// Value of `delivered_tokens_` at the start of the current attempt.
    std::uint64_t attempt_first_token_{0};
    std::vector<attempt_cost> costs_;
    /// Space for the request's usage record is reserved.
    bool reserved_{false};
    timer_id retry_timer_;
};

} // namespace agatespar
