// The life of one transparent request: checks, attempts at servers, and the one answer.
#pragma once

#include <agatespar/gateway/event_splitter.h>
#include <agatespar/gateway/gateway.h>
#include <agatespar/gateway/request_report.h>
#include <agatespar/gateway/silence.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatespar {

/// Sends of one request, servers that refused it or could not be reached included. Runs are bounded by the route.
inline constexpr int most_sends = 5;
/// A try that would have less than this left is not worth making: no server answers faster.
inline constexpr std::chrono::milliseconds least_try{10};

class transparent_run : public std::enable_shared_from_this<transparent_run> {
public:
    transparent_run(gateway& owner, std::shared_ptr<server_exchange> exchange);
    transparent_run(const transparent_run&) = delete;
    transparent_run& operator=(const transparent_run&) = delete;
    ~transparent_run();

    void start();

private:
    /// What is proven about all attempts so far.
    enum class progress {
        nothing_ran,
        may_have_run,
    };

    bool accept();
    void choose_version();
    void send_attempt();
    std::shared_ptr<fleet_server> pick_server();
    attempt_facts describe_attempt(const fleet_server& server) const;
    void note_read();
    void on_head(const http_answer_head& head);
    void on_body(std::string_view bytes);
    void note_progress();
    void on_done();
    void on_failed(const send_failure& failure);
    void on_not_run(const answer_facts& facts);
    void on_time_over();
    waiting_request describe_waiting() const;
    /// Looks after a while whether the server has fallen silent.
    void watch_silence();
    void on_silence_due();
    void probe_server();
    void give_server_up(bool lives);
    void on_client_gone();
    /// Notes how long the largest model's first event took, or was waited for.
    void note_pressure(duration first_event);
    bool drops_answer(const answer_facts& facts) const;
    void note_quality(bool good);

    /// Tries another server if the request, its runs, time and the budget allow it. @return whether it does.
    bool try_again(repeat_reason kind, const char* reason);
    bool may_run_again() const;
    void deliver_plain();
    void refuse(int status, const char* reason);
    void break_off(const char* reason);
    void note_attempt(const fleet_server& server, std::size_t candidates);
    /// @param outcome how the attempt went, for the request's report.
    void end_attempt(const char* outcome);
    void finish(int status, const char* reason);
    std::chrono::milliseconds time_left() const;

    gateway& owner_;
    std::shared_ptr<server_exchange> exchange_;
    std::shared_ptr<const service_map> map_;
    const service_route* route_{nullptr};
    service_name service_;
    request_facts facts_;
    std::optional<client_account_name> account_;
    std::optional<model_name> model_;
    std::size_t ladder_step_{0};
    version_choice version_{version_choice::any};
    steady_time deadline_;
    std::optional<timer_id> deadline_timer_;
    std::optional<timer_id> retry_timer_;
    std::optional<timer_id> silence_timer_;
    std::shared_ptr<client_call> probe_;
    /// When the attempt last made progress, and the probes that its server has answered since.
    steady_time progressed_at_;
    int answered_probes_{0};
    /// The client lags behind, so its server is not read.
    bool held_by_client_{false};
    int sends_{0};
    int runs_{0};
    progress progress_{progress::nothing_ran};
    std::vector<server_name> tried_;

    std::shared_ptr<fleet_server> server_;
    std::shared_ptr<client_call> call_;
    steady_time attempt_began_;
    /// The attempt already speaks for or against its server's version.
    bool quality_noted_{false};
    std::uint64_t unread_tokens_{0};
    duration first_byte_{0};
    run_report report_;
    http_answer_head head_;
    std::string body_;
    event_splitter events_;
    bool streams_{false};
    bool answer_begun_{false};
    bool ended_{false};
};

} // namespace agatespar
