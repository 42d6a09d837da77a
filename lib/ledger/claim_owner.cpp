// Batches the requests of one partition into appends, and answers them from what it reads back.
#include <agatespar/ledger/claim_owner.h>
#include <agatespar/ledger/ledger_snapshot.h>
#include <agatespar/ledger/owner_decision.h>
#include <agatespar/ledger/partition_reader.h>

#include <algorithm>
#include <list>

namespace agatespar {

// The next try to read after the log did not answer.
static constexpr std::chrono::milliseconds read_retry_interval{250};

namespace {

struct waiting_request {
    ledger_operation operation{ledger_operation::look_up};
    std::uint64_t ticket{0};
    ledger_record record;
    claim_owner::reply_function reply;
    steady_time give_up;
    /// The pass of the reader that sees all that stood in the log when this was last set.
    std::uint64_t needs_pass{0};
    bool queued{false};
    bool appending{false};
};

} // namespace

class claim_owner::impl : public std::enable_shared_from_this<claim_owner::impl> {
public:
    impl(event_loop& loop, log_service log, ledger_partition partition, ledger_settings settings)
        : loop_(loop), log_(std::move(log)), partition_(partition), settings_(settings)
    {
    }

    void start();
    void stop();
    void serve(const ledger_request& request, reply_function reply);
    claim_owner_counters counters() const;

    ledger_partition partition() const { return partition_; }
    bool ready() const { return reader_ && reader_->window(loop_.time().wall_now()) == window_state::complete; }
    std::size_t waiting() const { return waiting_.size(); }
    const partition_state& state() const { return reader_->state(); }

private:
    void tick();
    void on_pass(bool ok);
    void resolve_all();
    bool resolve(waiting_request& request);
    void answer(const waiting_request& request, const key_judgement& judgement);
    void answer_finished(const waiting_request& request, log_offset outcome_at);
    void schedule_flush();
    void flush();
    void on_appended(bool ok);
    void drop_given_up();
    void write_snapshot_if_due();
    void refuse(std::uint64_t ticket, const reply_function& reply);

    event_loop& loop_;
    log_service log_;
    ledger_partition partition_;
    ledger_settings settings_;
    std::shared_ptr<partition_reader> reader_;
    std::list<waiting_request> waiting_;
    bool stopped_{false};
    bool append_under_way_{false};
    bool flush_scheduled_{false};
    bool retry_scheduled_{false};
    bool snapshot_under_way_{false};
    steady_time next_append_;
    steady_time last_snapshot_;
    log_offset snapshot_next_{1};
    claim_owner_counters counters_;
};

void claim_owner::impl::start()
{
    last_snapshot_ = loop_.time().now();
    const std::weak_ptr<impl> weak = weak_from_this();
    reader_ = std::make_shared<partition_reader>(loop_, log_, partition_, settings_, [weak](bool ok) {
        if (const auto self = weak.lock()) {
            self->on_pass(ok);
        }
    });
    tick();
}

void claim_owner::impl::stop()
{
    stopped_ = true;
    if (reader_) {
        reader_->stop();
    }
}

void claim_owner::impl::tick()
{
    if (stopped_) {
        return;
    }
    drop_given_up();
    forget_old_keys(reader_->state(), loop_.time().wall_now(), settings_);
    reader_->catch_up();
    loop_.schedule(settings_.tail_interval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->tick();
        }
    });
}

void claim_owner::impl::refuse(std::uint64_t ticket, const reply_function& reply)
{
    ++counters_.refused;
    reply(ledger_answer{ticket, ledger_verdict::refused, {}, {}});
}

static bool carries_its_record(ledger_operation operation, const ledger_record& record)
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

void claim_owner::impl::serve(const ledger_request& request, reply_function reply)
{
    auto record = decode_record(request.record);
    const bool valid =
        record && partition_of(key_of(*record)) == partition_ && carries_its_record(request.operation, *record);
    if (!valid || !reader_ || waiting_.size() >= settings_.max_waiting) {
        refuse(request.ticket, reply);
        return;
    }
    waiting_request entry;
    entry.operation = request.operation;
    entry.ticket = request.ticket;
    entry.record = std::move(*record);
    entry.reply = std::move(reply);
    entry.give_up = loop_.time().now() + std::chrono::milliseconds{request.patience_ms};
    const bool only_reads =
        request.operation == ledger_operation::look_up || request.operation == ledger_operation::cancel;
    entry.needs_pass = only_reads ? reader_->catch_up() : 0;
    // The reply may come from within, and with it another request.
    const auto position = waiting_.insert(waiting_.end(), std::move(entry));
    if (resolve(*position)) {
        waiting_.erase(position);
    }
}

bool claim_owner::impl::resolve(waiting_request& request)
{
    if (request.queued || request.appending) {
        return false;
    }
    const wall_time now = loop_.time().wall_now();
    const bool fresh = reader_->passes() >= request.needs_pass;
    const owner_view view{reader_->state(), reader_->window(now), fresh, now};
    const owner_decision decision = decide_request(view, request.operation, request.record, settings_);
    if (decision.step == owner_step::answer) {
        answer(request, decision.judgement);
        return true;
    }
    // A record whose append has not been read back is not written again yet.
    if (decision.step == owner_step::write && fresh) {
        request.queued = true;
        schedule_flush();
    }
    else if (!fresh && reader_->window(now) != window_state::recovering) {
        reader_->catch_up();
    }
    return false;
}

void claim_owner::impl::resolve_all()
{
    for (auto entry = waiting_.begin(); entry != waiting_.end();) {
        entry = resolve(*entry) ? waiting_.erase(entry) : std::next(entry);
    }
}

void claim_owner::impl::answer(const waiting_request& request, const key_judgement& judgement)
{
    if (judgement.verdict == ledger_verdict::finished && request.operation != ledger_operation::record_outcome) {
        answer_finished(request, judgement.outcome_at);
        return;
    }
    if (judgement.verdict == ledger_verdict::refused) {
        refuse(request.ticket, request.reply);
        return;
    }
    if (judgement.verdict == ledger_verdict::granted) {
        ++counters_.granted;
    }
    request.reply(ledger_answer{request.ticket, judgement.verdict, judgement.fence, {}});
}

static ledger_answer outcome_answer(std::uint64_t ticket, const ledger_key& key, log_offset at,
                                    const outcome<read_batch>& batch)
{
    ledger_answer answer{ticket, ledger_verdict::outcome_unknown, {}, {}};
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

void claim_owner::impl::answer_finished(const waiting_request& request, log_offset outcome_at)
{
    ++counters_.reads;
    log_.read({ledger_stream(partition_), outcome_at, 1},
              [reply = request.reply, ticket = request.ticket, key = key_of(request.record), outcome_at](
                  const outcome<read_batch>& batch) { reply(outcome_answer(ticket, key, outcome_at, batch)); });
}

void claim_owner::impl::schedule_flush()
{
    if (flush_scheduled_ || append_under_way_) {
        return;
    }
    flush_scheduled_ = true;
    loop_.schedule(next_append_ - loop_.time().now(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->flush();
        }
    });
}

void claim_owner::impl::flush()
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
    if (stopped_ || batch.payloads.empty()) {
        return;
    }
    append_under_way_ = true;
    next_append_ = loop_.time().now() + settings_.append_interval;
    ++counters_.appends;
    counters_.appended_records += batch.payloads.size();
    log_.append(std::move(batch), [weak = weak_from_this()](const outcome<append_receipt>& receipt) {
        if (const auto self = weak.lock()) {
            self->on_appended(receipt.has_value());
        }
    });
}

void claim_owner::impl::on_appended(bool ok)
{
    append_under_way_ = false;
    if (!ok) {
        ++counters_.failed_appends;
    }
    // Whatever the answer was, only the log tells which records stand and in what order.
    const std::uint64_t pass = reader_->catch_up();
    for (waiting_request& request : waiting_) {
        if (request.appending) {
            request.appending = false;
            request.needs_pass = pass;
        }
    }
    const bool more = std::any_of(waiting_.begin(), waiting_.end(), [](const auto& entry) { return entry.queued; });
    if (more) {
        schedule_flush();
    }
}

void claim_owner::impl::on_pass(bool ok)
{
    if (stopped_) {
        return;
    }
    resolve_all();
    if (ok) {
        write_snapshot_if_due();
        return;
    }
    if (retry_scheduled_ || waiting_.empty()) {
        return;
    }
    retry_scheduled_ = true;
    loop_.schedule(read_retry_interval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->retry_scheduled_ = false;
            self->reader_->catch_up();
        }
    });
}

void claim_owner::impl::drop_given_up()
{
    const steady_time now = loop_.time().now();
    for (auto entry = waiting_.begin(); entry != waiting_.end();) {
        if (entry->give_up > now) {
            ++entry;
            continue;
        }
        refuse(entry->ticket, entry->reply);
        entry = waiting_.erase(entry);
    }
}

void claim_owner::impl::write_snapshot_if_due()
{
    const partition_state& state = reader_->state();
    const steady_time now = loop_.time().now();
    const std::uint64_t tail = state.next.value() - std::min(state.next, snapshot_next_).value();
    // The tail is allowed to grow as long as the snapshot, so that snapshots at most double the bytes written.
    const bool long_tail = tail >= std::max(settings_.min_snapshot_tail, state.keys.size());
    const bool ageing = state.next > log_offset{1} && now - last_snapshot_ >= settings_.key_window / 2;
    if (snapshot_under_way_ || !ready() || !(long_tail || ageing)) {
        return;
    }
    snapshot_under_way_ = true;
    last_snapshot_ = now;
    snapshot_next_ = state.next;
    log_.append({ledger_snapshot_stream(partition_), encode_snapshot(state)},
                [weak = weak_from_this()](const outcome<append_receipt>& receipt) {
                    if (const auto self = weak.lock()) {
                        self->snapshot_under_way_ = false;
                        self->counters_.snapshots_written += receipt ? 1 : 0;
                    }
                });
}

claim_owner_counters claim_owner::impl::counters() const
{
    claim_owner_counters all = counters_;
    if (reader_) {
        all.reads += reader_->counters().reads;
        all.folded_records = reader_->counters().folded_records;
        all.recoveries = reader_->counters().recoveries;
    }
    return all;
}

claim_owner::claim_owner(event_loop& loop, log_service log, ledger_partition partition, ledger_settings settings)
    : impl_(std::make_shared<impl>(loop, std::move(log), partition, settings))
{
}

claim_owner::~claim_owner()
{
    impl_->stop();
}

void claim_owner::start()
{
    impl_->start();
}

void claim_owner::serve(const ledger_request& request, reply_function reply)
{
    impl_->serve(request, std::move(reply));
}

ledger_partition claim_owner::partition() const
{
    return impl_->partition();
}

bool claim_owner::ready() const
{
    return impl_->ready();
}

std::size_t claim_owner::waiting() const
{
    return impl_->waiting();
}

claim_owner_counters claim_owner::counters() const
{
    return impl_->counters();
}

const partition_state& claim_owner::state() const
{
    return impl_->state();
}

} // namespace agatespar
