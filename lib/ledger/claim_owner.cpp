// Batches the requests of one partition into appends and answers them after reading the records back.
#include <agatespar/ledger/claim_owner.h>
#include <agatespar/ledger/ledger_snapshot.h>
#include <agatespar/ledger/owner_decision.h>

#include <algorithm>
#include <utility>

namespace agatespar {

// Delay before the next read after the log did not answer.
static constexpr std::chrono::milliseconds read_retry_interval{250};
// Interval between removals of old keys. It affects only memory: old keys are refused because of their age.
static constexpr std::chrono::seconds removal_interval{10};

struct claim_owner::waiting_request {
    ledger_operation operation{ledger_operation::look_up};
    std::uint64_t request_number{0};
    ledger_record record;
    claim_owner::reply_function reply;
    steady_time expires_at;
    /// First pass of the reader that reads all records that were in the log when this was set.
    std::uint64_t required_pass{0};
    bool queued{false};
    bool appending{false};
};

claim_owner::claim_owner(event_loop& loop, log_service log, ledger_partition partition, ledger_settings settings)
    : loop_(loop), log_(std::move(log)), partition_(partition), settings_(settings),
      reader_(std::make_shared<partition_reader>(loop_, log_, partition_, settings_, [this](bool ok) { on_pass(ok); }))
{
}

claim_owner::~claim_owner()
{
    reader_->stop();
}

template <class Call>
void claim_owner::schedule_if_alive(duration delay, Call call)
{
    loop_.schedule(delay, [this, alive = std::weak_ptr(alive_), call] {
        if (!alive.expired()) {
            call(*this);
        }
    });
}

bool claim_owner::ready() const
{
    return reader_->window(loop_.time().wall_now()) == window_state::complete;
}

const partition_state& claim_owner::state() const
{
    return std::as_const(*reader_).state();
}

void claim_owner::start()
{
    last_snapshot_ = loop_.time().now();
    tick();
}

void claim_owner::tick()
{
    refuse_expired();
    if (loop_.time().now() >= next_removal_) {
        next_removal_ = loop_.time().now() + removal_interval;
        remove_old_keys(reader_->state(), loop_.time().wall_now(), settings_);
    }
    reader_->catch_up();
    schedule_if_alive(settings_.tail_interval, [](claim_owner& self) { self.tick(); });
}

void claim_owner::refuse(std::uint64_t request_number, const reply_function& reply)
{
    ++counters_.refused;
    reply(ledger_answer{request_number, ledger_verdict::refused, {}, {}});
}

static bool has_matching_record(ledger_operation operation, const ledger_record& record)
{
    switch (operation) {
    case ledger_operation::claim:
        return std::holds_alternative<claim_record>(record);
    case ledger_operation::abandon:
        return std::holds_alternative<abandoned_record>(record);
    case ledger_operation::record_outcome:
        return std::holds_alternative<outcome_record>(record);
    case ledger_operation::cancel:
    case ledger_operation::look_up:
        return std::holds_alternative<cancel_record>(record);
    }
    return false;
}

void claim_owner::serve(const ledger_request& request, reply_function reply)
{
    auto record = decode_record(request.record);
    const bool valid =
        record && partition_of(key_of(*record)) == partition_ && has_matching_record(request.operation, *record);
    if (!valid || waiting_.size() >= settings_.max_waiting) {
        refuse(request.request_number, reply);
        return;
    }
    waiting_request entry;
    entry.operation = request.operation;
    entry.request_number = request.request_number;
    entry.record = std::move(*record);
    entry.reply = std::move(reply);
    entry.expires_at = loop_.time().now() + std::chrono::milliseconds{request.timeout_ms};
    const bool needs_current_state =
        request.operation == ledger_operation::look_up || request.operation == ledger_operation::cancel;
    entry.required_pass = needs_current_state ? reader_->catch_up() : 0;
    // try_answer() may call the reply function, which may call serve() again.
    const auto position = waiting_.insert(waiting_.end(), std::move(entry));
    if (try_answer(*position)) {
        waiting_.erase(position);
    }
}

bool claim_owner::try_answer(waiting_request& request)
{
    if (request.queued || request.appending) {
        return false;
    }
    const wall_time now = loop_.time().wall_now();
    const bool fresh = reader_->last_finished_pass() >= request.required_pass;
    const owner_view view{reader_->state(), reader_->window(now), fresh, now};
    const owner_decision decision = decide_request(view, request.operation, request.record, settings_);
    if (decision.step == owner_step::answer) {
        answer(request, decision.evaluation);
        return true;
    }
    // A record whose append has not been read back yet is not written again.
    if (decision.step == owner_step::write && fresh) {
        request.queued = true;
        schedule_flush();
    }
    else if (!fresh && reader_->window(now) != window_state::recovering) {
        reader_->catch_up();
    }
    return false;
}

void claim_owner::try_answer_all()
{
    for (auto entry = waiting_.begin(); entry != waiting_.end();) {
        entry = try_answer(*entry) ? waiting_.erase(entry) : std::next(entry);
    }
}

void claim_owner::answer(const waiting_request& request, const key_evaluation& evaluation)
{
    if (evaluation.verdict == ledger_verdict::finished && request.operation != ledger_operation::record_outcome) {
        answer_finished(request, evaluation.outcome_at);
        return;
    }
    if (evaluation.verdict == ledger_verdict::refused) {
        refuse(request.request_number, request.reply);
        return;
    }
    if (evaluation.verdict == ledger_verdict::granted) {
        ++counters_.granted;
    }
    request.reply(ledger_answer{request.request_number, evaluation.verdict, evaluation.fence, {}});
}

static ledger_answer outcome_answer(std::uint64_t request_number, const ledger_key& key, log_offset at,
                                    const outcome<read_batch>& batch)
{
    ledger_answer answer{request_number, ledger_verdict::outcome_unknown, {}, {}};
    if (!batch || batch->records.empty() || batch->records.front().offset != at) {
        return answer;
    }
    auto record = decode_record(batch->records.front().payload);
    if (record && std::holds_alternative<outcome_record>(*record) && key_of(*record) == key) {
        answer.verdict = ledger_verdict::finished;
        answer.result = std::move(std::get<outcome_record>(*record).result);
    }
    return answer;
}

void claim_owner::answer_finished(const waiting_request& request, log_offset outcome_at)
{
    ++counters_.reads;
    log_.read({ledger_stream(partition_), outcome_at, 1},
              [reply = request.reply, request_number = request.request_number, key = key_of(request.record),
               outcome_at](const outcome<read_batch>& batch) {
                  reply(outcome_answer(request_number, key, outcome_at, batch));
              });
}

void claim_owner::schedule_flush()
{
    if (flush_scheduled_ || append_in_flight_) {
        return;
    }
    flush_scheduled_ = true;
    schedule_if_alive(next_append_ - loop_.time().now(), [](claim_owner& self) { self.flush(); });
}

void claim_owner::flush()
{
    flush_scheduled_ = false;
    append_request batch{ledger_stream(partition_), {}};
    for (waiting_request& request : waiting_) {
        if (request.queued && batch.payloads.size() < settings_.max_batch_records) {
            request.queued = false;
            request.appending = true;
            batch.payloads.push_back(encode_record(request.record));
        }
    }
    if (batch.payloads.empty()) {
        return;
    }
    append_in_flight_ = true;
    next_append_ = loop_.time().now() + settings_.append_interval;
    ++counters_.appends;
    counters_.appended_records += batch.payloads.size();
    log_.append(std::move(batch), [this, alive = std::weak_ptr(alive_)](const outcome<append_receipt>& receipt) {
        if (!alive.expired()) {
            on_appended(receipt.has_value());
        }
    });
}

void claim_owner::on_appended(bool ok)
{
    append_in_flight_ = false;
    if (!ok) {
        ++counters_.failed_appends;
    }
    // Whether the append succeeded or not, only a read shows which records are in the log and in what order.
    const std::uint64_t pass = reader_->catch_up();
    for (waiting_request& request : waiting_) {
        if (request.appending) {
            request.appending = false;
            request.required_pass = pass;
        }
    }
    const bool more = std::any_of(waiting_.begin(), waiting_.end(), [](const auto& entry) { return entry.queued; });
    if (more) {
        schedule_flush();
    }
}

void claim_owner::on_pass(bool ok)
{
    try_answer_all();
    if (ok) {
        write_snapshot_if_due();
        return;
    }
    if (retry_scheduled_ || waiting_.empty()) {
        return;
    }
    retry_scheduled_ = true;
    schedule_if_alive(read_retry_interval, [](claim_owner& self) {
        self.retry_scheduled_ = false;
        self.reader_->catch_up();
    });
}

void claim_owner::refuse_expired()
{
    const steady_time now = loop_.time().now();
    for (auto entry = waiting_.begin(); entry != waiting_.end();) {
        if (entry->expires_at > now) {
            ++entry;
            continue;
        }
        refuse(entry->request_number, entry->reply);
        entry = waiting_.erase(entry);
    }
}

void claim_owner::write_snapshot_if_due()
{
    const partition_state& state = reader_->state();
    const steady_time now = loop_.time().now();
    const std::uint64_t tail = state.next.value() - std::min(state.next, snapshot_next_).value();
    // The tail may grow to as many records as the snapshot has keys, so that snapshots at most double the bytes
    // written.
    const bool long_tail = tail >= std::max(settings_.min_snapshot_tail, state.keys.size());
    const bool snapshot_outdated = state.next > log_offset{1} && now - last_snapshot_ >= settings_.key_window / 2;
    if (snapshot_in_flight_ || !ready() || !(long_tail || snapshot_outdated)) {
        return;
    }
    snapshot_in_flight_ = true;
    last_snapshot_ = now;
    snapshot_next_ = state.next;
    log_.append({ledger_snapshot_stream(partition_), encode_snapshot(state)},
                [this, alive = std::weak_ptr(alive_)](const outcome<append_receipt>& receipt) {
                    if (!alive.expired()) {
                        snapshot_in_flight_ = false;
                        counters_.snapshots_written += receipt ? 1 : 0;
                    }
                });
}

claim_owner_counters claim_owner::counters() const
{
    claim_owner_counters all = counters_;
    all.reads += reader_->counters().reads;
    all.folded_records = reader_->counters().folded_records;
    all.recoveries = reader_->counters().recoveries;
    return all;
}

} // namespace agatespar
