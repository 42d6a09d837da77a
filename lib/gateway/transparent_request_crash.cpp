// Attributes crashes of servers to the request that they ran, and refuses requests that crash their servers.
#include "transparent_request.h"

#include <agatespar/support/hash.h>

#include <utility>

namespace agatespar {

// For this long after a server was found to have crashed, its other requests rely on that. It is back after some
// seconds.
static constexpr std::chrono::milliseconds crash_lifetime{500};
static constexpr std::chrono::milliseconds crash_probe_interval{20};
static constexpr int max_crash_probes = 4;
// A request with a suspected part is not sent again after this many crashes, as it would be the cause of the next one,
// too.
static constexpr int max_crashes_of_suspect = 2;
// Interval at which a request that is delayed looks for a verdict.
static constexpr std::chrono::milliseconds verdict_check_interval{100};
// Distinguishes the hashes of parts from those of requests.
static constexpr std::uint64_t part_hash_seed = 1;

const crash_suspects& transparent_request::suspects()
{
    if (suspects_) {
        return *suspects_;
    }
    suspects_.emplace();
    const std::uint64_t caller = stable_hash(account_ ? account_->value() : "");
    const std::uint64_t content = combine_hashes(stable_hash(exchange_->head().target), stable_hash(exchange_->body()));
    suspects_->request = crash_subject{combine_hashes(caller, content)};
    // The last part is the request's own.
    for (std::size_t i = 0; i + 1 < metadata_.prompt.size(); ++i) {
        suspects_->parts.emplace_back(stable_hash(metadata_.prompt[i].id.value(), part_hash_seed));
    }
    return *suspects_;
}

bool transparent_request::is_possible_crash(const send_failure& failed) const
{
    if (failed.state != send_state::sent || !failed.connection_ended) {
        return false;
    }
    // A client that resumes a stream has had events of it.
    const bool has_begun = events_.completed() > 0 || !body_.bytes().empty() || metadata_.last_event;
    const bool leaves = !accepts_requests(*server_) || server_->presence != directory_presence::listed;
    return !has_begun && !leaves;
}

void transparent_request::confirm_crash()
{
    cancel_timers({&silence_timer_, &slow_timer_});
    call_.reset();
    if (owner_.loop_.time().now() - server_->crashed_at < crash_lifetime) {
        record_crash();
        return;
    }
    probe_crashed_server(max_crash_probes);
}

void transparent_request::probe_crashed_server(int probes_left)
{
    const auto self = shared_from_this();
    const auto end_probe = [self] {
        self->cancel_timers({&self->silence_timer_});
        return std::exchange(self->probe_, nullptr);
    };
    const auto started = start_probe(
        [self, end_probe] {
            const auto probe = end_probe();
            self->retry_after_failure(true);
        },
        [self, end_probe, probes_left](const send_failure& failed) {
            const auto probe = end_probe();
            self->on_crash_probe_failed(failed, probes_left);
        });
    if (started) {
        // A time-out proves nothing: a server may be silent for a while.
        silence_timer_ = owner_.loop_.schedule(probe_timeout, [self] {
            self->silence_timer_.reset();
            self->probe_.reset();
            self->retry_after_failure(true);
        });
        return;
    }
    on_crash_probe_failed(
        {send_state::not_sent, started.error().message, started.error().code == error_code::not_found}, probes_left);
}

void transparent_request::on_crash_probe_failed(const send_failure& failed, int probes_left)
{
    if (!failed.connection_ended) {
        retry_after_failure(true);
        return;
    }
    if (failed.state == send_state::not_sent) {
        record_crash();
        return;
    }
    // The connection was taken and then ended, as by a process that is ending, or by a server with too many
    // connections.
    if (probes_left <= 1) {
        retry_after_failure(true);
        return;
    }
    silence_timer_ = owner_.loop_.schedule(crash_probe_interval, [self = shared_from_this(), probes_left] {
        self->silence_timer_.reset();
        self->probe_crashed_server(probes_left - 1);
    });
}

void transparent_request::record_crash()
{
    const steady_time now = owner_.loop_.time().now();
    server_->crashed_at = now;
    ++crashes_;
    crashed_attempt attempt;
    attempt.suspects = suspects();
    attempt.client_attempt = stable_hash(metadata_.id.value());
    attempt.crash = combine_hashes(stable_hash(server_->record.name.value()),
                                   static_cast<std::uint64_t>(server_->record.started_unix_ms));
    attempt.sent_at = attempt_started_at_;
    attempt.may_be_retried = retry_permitted() && crashes_ < max_crashes_of_suspect;
    owner_.note_crash(attempt, *server_, metadata_);
    const crash_suspects parts{{}, suspects().parts};
    const bool has_suspect_part = owner_.crashes_.verdict(parts, now) != crash_verdict::clear;
    if (has_suspect_part && crashes_ >= max_crashes_of_suspect) {
        refuse_crashing_request(std::nullopt);
        return;
    }
    if (const auto until = owner_.crashes_.refused_until(suspects(), now)) {
        refuse_crashing_request(until);
        return;
    }
    retry_after_failure(true);
}

bool transparent_request::contain_crashes()
{
    if (owner_.crashes_.size() == 0) {
        return false;
    }
    const steady_time now = owner_.loop_.time().now();
    if (const auto until = owner_.crashes_.refused_until(suspects(), now)) {
        refuse_crashing_request(until);
        return true;
    }
    if (owner_.crashes_.verdict(suspects(), now) != crash_verdict::unsettled) {
        return false;
    }
    retry_timer_ = owner_.loop_.schedule(verdict_check_interval, [self = shared_from_this()] {
        self->retry_timer_.reset();
        self->send_attempt();
    });
    return true;
}

bool transparent_request::refuse_if_guilty()
{
    const bool has_begun = events_.completed() > 0 || !body_.bytes().empty();
    if (has_begun || owner_.crashes_.size() == 0) {
        return false;
    }
    const auto until = owner_.crashes_.refused_until(suspects(), owner_.loop_.time().now());
    if (until) {
        if (call_->state() == send_state::sent) {
            progress_ = progress::may_have_run;
        }
        refuse_crashing_request(until);
    }
    return until.has_value();
}

void transparent_request::refuse_crashing_request(std::optional<steady_time> until)
{
    constexpr const char* reason = "requests like this one crash their servers";
    if (answer_started_) {
        abort_answer(reason);
        return;
    }
    const auto wait = until ? *until - owner_.loop_.time().now() : duration{0};
    answer_error(progress_ == progress::nothing_ran ? 503 : 502, reason,
                 std::chrono::duration_cast<std::chrono::milliseconds>(wait));
}

void transparent_request::note_answer_begun()
{
    const bool shares_parts = metadata_.prompt.size() > 1;
    if (shares_parts || owner_.crashes_.size() > 0) {
        owner_.note_answer_begun(suspects());
    }
}

} // namespace agatespar
