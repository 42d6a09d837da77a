// Sends requests to the owners of ledger partitions and converts their verdicts to results or errors for the caller.
#include <agatespar/ledger/claim_client.h>
#include <agatespar/ledger/key_age.h>

#include <algorithm>

namespace agatespar {

static constexpr std::chrono::milliseconds retry_delay{1000};

struct claim_client::pending_request {
    ledger_partition partition;
    ledger_request request;
    unsigned attempt{0};
    steady_time expires_at;
    timer_id timer;
    std::function<void(const ledger_answer&)> done;
};

static error refusal(error_code code, std::string message, run_state ran)
{
    return error{code, std::move(message), ran, retry_delay};
}

// Without a verdict, it is known that this submission has not run, but not whether an earlier one has.
static run_state run_state_without_verdict(submission submission_kind)
{
    return submission_kind == submission::first ? run_state::not_run : run_state::outcome_unknown;
}

static bool must_be_recorded(ledger_operation operation)
{
    return operation == ledger_operation::abandon || operation == ledger_operation::record_outcome;
}

claim_client::claim_client(event_loop& loop, boot_id self, ledger_settings settings, send_function send)
    : loop_(loop), self_(self), settings_(settings), send_(std::move(send))
{
}

claim_client::~claim_client()
{
    for (const auto& [request_number, entry] : pending_) {
        loop_.cancel(entry.timer);
    }
}

void claim_client::claim(const claim_order& order, claim_callback callback)
{
    const wall_time now = loop_.time().wall_now();
    if (const auto age = check_key_age(order.key_time, now, settings_); !age) {
        error problem = age.error();
        // A VM whose clock is ahead may have accepted an earlier submission of the key.
        problem.ran = problem.code == error_code::invalid_argument ? run_state_without_verdict(order.submission_kind)
                                                                   : problem.ran;
        loop_.post([callback = std::move(callback), problem] { callback(tl::make_unexpected(problem)); });
        return;
    }
    claim_record record;
    record.key = order.key;
    record.id = {self_, last_request_number_ + 1};
    record.request = order.request;
    record.fingerprint = order.fingerprint;
    record.key_time = order.key_time;
    record.written = now;
    record.expiry = now + settings_.claim_lifetime;
    const steady_time deadline = loop_.time().now() + settings_.claim_lifetime;
    start_request(ledger_operation::claim, record, order.timeout,
                  [this, order, record, deadline, callback = std::move(callback)](const ledger_answer& answer) {
                      finish_claim(order, record, deadline, answer, callback);
                  });
}

static error refusal_for(ledger_verdict verdict, submission submission_kind)
{
    switch (verdict) {
    case ledger_verdict::running:
        return refusal(error_code::conflict, "another submission of this idempotency key is in progress",
                       run_state::outcome_unknown);
    case ledger_verdict::cancelled:
        return error{error_code::conflict, "the idempotency key was cancelled before its request ran",
                     run_state::not_run, std::nullopt};
    case ledger_verdict::key_reused:
        return error{error_code::invalid_argument,
                     "the idempotency key was used for a request with a different content", run_state::not_run,
                     std::nullopt};
    case ledger_verdict::outcome_unknown:
    case ledger_verdict::too_old:
        return error{error_code::outcome_unknown,
                     "an earlier submission of this idempotency key may have run, and its outcome is not known",
                     run_state::outcome_unknown, std::nullopt};
    default:
        return refusal(error_code::unavailable,
                       "the ledger could not decide the claim; retry with the same idempotency key",
                       run_state_without_verdict(submission_kind));
    }
}

void claim_client::finish_claim(const claim_order& order, const claim_record& record, steady_time deadline,
                                const ledger_answer& answer, const claim_callback& callback)
{
    if (answer.verdict == ledger_verdict::granted) {
        ++counters_.granted;
        dispatchable_.insert(record.id.serial);
        granted_claim claim{order.key,    record.id,     order.request, order.key_time,
                            answer.fence, record.expiry, deadline,      order.submission_kind == submission::first};
        callback(claim_result{std::move(claim)});
        return;
    }
    if (answer.verdict == ledger_verdict::finished) {
        ++counters_.repeats_answered;
        callback(claim_result{answer.result});
        return;
    }
    if (answer.verdict == ledger_verdict::refused) {
        abandon_claim(order.key, record.id, order.key_time);
    }
    error problem = refusal_for(answer.verdict, order.submission_kind);
    ++(problem.ran == run_state::not_run ? counters_.refused : counters_.outcome_unknown);
    callback(tl::make_unexpected(std::move(problem)));
}

outcome<void> claim_client::begin_dispatch(const granted_claim& claim)
{
    const clock& time = loop_.time();
    if (dispatchable_.erase(claim.id.serial) == 0) {
        return tl::make_unexpected(
            refusal(error_code::internal, "the claim was already dispatched or abandoned", run_state::outcome_unknown));
    }
    if (may_dispatch(claim, time.wall_now(), time.now(), settings_.max_clock_skew)) {
        return {};
    }
    ++counters_.expired_before_dispatch;
    abandon(claim);
    return tl::make_unexpected(refusal(
        error_code::expired, "the claim expired before the request started; retry with the same idempotency key",
        run_state_without_verdict(claim.first_submission ? submission::first : submission::possibly_repeated)));
}

void claim_client::abandon(const granted_claim& claim)
{
    dispatchable_.erase(claim.id.serial);
    abandon_claim(claim.key, claim.id, claim.key_time);
}

void claim_client::abandon_claim(const ledger_key& key, claim_id id, wall_time key_time)
{
    start_request(ledger_operation::abandon, abandoned_record{key, id, key_time}, settings_.max_run_time,
                  [](const ledger_answer&) {});
}

void claim_client::record_outcome(const granted_claim& claim, stored_outcome result)
{
    if (result.body.size() > max_stored_body_bytes) {
        result.body.clear();
        result.body_omitted = true;
    }
    start_request(ledger_operation::record_outcome, outcome_record{claim.key, claim.id, std::move(result)},
                  settings_.max_run_time, [](const ledger_answer&) {});
}

void claim_client::look_up(const ledger_key& key, wall_time key_time, std::chrono::milliseconds timeout,
                           key_report_callback callback)
{
    start_request(
        ledger_operation::look_up, cancel_record{key, key_time}, timeout,
        [this, callback = std::move(callback)](const ledger_answer& answer) { report_key(answer, callback); });
}

void claim_client::cancel(const ledger_key& key, wall_time key_time, std::chrono::milliseconds timeout,
                          key_report_callback callback)
{
    start_request(
        ledger_operation::cancel, cancel_record{key, key_time}, timeout,
        [this, callback = std::move(callback)](const ledger_answer& answer) { report_key(answer, callback); });
}

void claim_client::report_key(const ledger_answer& answer, const key_report_callback& callback)
{
    if (answer.verdict != ledger_verdict::refused) {
        callback(key_report{answer.verdict, answer.result});
        return;
    }
    callback(
        tl::make_unexpected(refusal(error_code::unavailable, "the ledger is unavailable", run_state::outcome_unknown)));
}

void claim_client::start_request(ledger_operation operation, const ledger_record& record,
                                 std::chrono::milliseconds timeout, std::function<void(const ledger_answer&)> done)
{
    const std::uint64_t request_number = ++last_request_number_;
    pending_request entry;
    entry.partition = partition_of(key_of(record));
    entry.request.operation = operation;
    entry.request.request_number = request_number;
    entry.request.record = encode_record(record);
    entry.expires_at = loop_.time().now() + timeout;
    entry.done = std::move(done);
    entry.timer = loop_.post([this, request_number] { send_request(request_number); });
    pending_.emplace(request_number, std::move(entry));
}

void claim_client::send_request(std::uint64_t request_number)
{
    pending_request& entry = pending_.at(request_number);
    const duration left = entry.expires_at - loop_.time().now();
    if (left <= duration::zero()) {
        finish_request(request_number, ledger_answer{request_number, ledger_verdict::refused, {}, {}});
        return;
    }
    ++counters_.requests_sent;
    entry.request.timeout_ms =
        static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
    entry.timer = loop_.schedule(std::min<duration>(left, settings_.owner_timeout),
                                 [this, request_number] { send_request(request_number); });
    // The answer may arrive within the call and remove the entry, so the call gets a copy of the request.
    const ledger_request request = entry.request;
    send_(entry.partition, entry.attempt++, request);
}

void claim_client::on_answer(const ledger_answer& answer)
{
    const auto found = pending_.find(answer.request_number);
    if (found == pending_.end()) {
        ++counters_.late_answers;
        return;
    }
    // A record that must reach the log is retried when its timer expires.
    if (answer.verdict == ledger_verdict::refused && must_be_recorded(found->second.request.operation)) {
        return;
    }
    finish_request(answer.request_number, answer);
}

void claim_client::finish_request(std::uint64_t request_number, const ledger_answer& answer)
{
    auto entry = pending_.extract(request_number);
    loop_.cancel(entry.mapped().timer);
    if (answer.verdict == ledger_verdict::refused && must_be_recorded(entry.mapped().request.operation)) {
        ++counters_.unconfirmed_records;
    }
    entry.mapped().done(answer);
}

} // namespace agatespar
