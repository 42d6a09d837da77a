// Sends usage records to holders and to the log, and releases the holders when the log has confirmed the records.
#include <agatespar/ledger/usage_outbox.h>

#include <algorithm>
#include <cassert>

namespace agatespar {

// Interval between a holder's checks for records that were not released in time.
static constexpr std::chrono::seconds overdue_check_interval{15};

/// A record that this VM must append to the log: its own, or one that it took over.
struct usage_outbox::pending_usage {
    usage_record record;
    /// VMs asked to hold the record. Cleared when all were asked, so that a VM whose message was lost is asked again.
    std::vector<boot_id> tried;
    /// All VMs that may hold the record.
    std::vector<boot_id> holders;
    std::optional<boot_id> held_by;
    std::function<void()> may_finish;
    steady_time hold_deadline;
};

usage_outbox::usage_outbox(event_loop& loop, log_service log, boot_id self, usage_settings settings, usage_peers peers)
    : loop_(loop), log_(std::move(log)), self_(self), settings_(settings), peers_(std::move(peers)),
      holder_(settings.max_hold)
{
}

usage_outbox::~usage_outbox() = default;

template <class Call>
void usage_outbox::schedule_if_alive(duration delay, Call call)
{
    loop_.schedule(delay, [this, alive = std::weak_ptr(alive_), call] {
        if (!alive.expired()) {
            call(*this);
        }
    });
}

bool usage_outbox::reserve()
{
    if (pending_.size() - taken_over_ + reserved_ >= settings_.max_pending) {
        ++counters_.refused;
        return false;
    }
    ++reserved_;
    return true;
}

void usage_outbox::unreserve()
{
    assert(reserved_ > 0 && "a reservation is cancelled once");
    --reserved_;
}

void usage_outbox::settle(usage_record record, std::function<void()> may_finish)
{
    unreserve();
    ++counters_.settled;
    record.sequence = {self_, ++last_number_};
    add_pending(std::move(record), std::move(may_finish));
}

void usage_outbox::add_pending(usage_record record, std::function<void()> may_finish)
{
    const usage_sequence sequence = record.sequence;
    const auto [found, inserted] = pending_.try_emplace(sequence);
    if (!inserted) {
        return;
    }
    taken_over_ += sequence.origin == self_ ? 0 : 1;
    found->second.record = std::move(record);
    found->second.may_finish = std::move(may_finish);
    found->second.hold_deadline = loop_.time().now() + settings_.max_hold_wait;
    schedule_if_alive(duration::zero(), [sequence](usage_outbox& self) { self.request_hold(sequence); });
    schedule_append();
}

void usage_outbox::take_over(std::vector<usage_record> records)
{
    for (usage_record& record : records) {
        ++counters_.adopted;
        add_pending(std::move(record), nullptr);
    }
}

void usage_outbox::request_hold(const usage_sequence& sequence)
{
    const auto found = pending_.find(sequence);
    if (found == pending_.end() || found->second.held_by) {
        return;
    }
    pending_usage& entry = found->second;
    if (!entry.tried.empty()) {
        ++counters_.hold_timeouts;
    }
    schedule_if_alive(settings_.hold_timeout, [sequence](usage_outbox& self) { self.request_hold(sequence); });
    send_hold_to_next(entry);
    if (entry.may_finish && loop_.time().now() >= entry.hold_deadline) {
        ++counters_.released_unheld;
        allow_finish(entry);
    }
}

void usage_outbox::send_hold_to_next(pending_usage& entry)
{
    const auto holder = peers_.choose_holder(entry.tried);
    if (!holder) {
        if (entry.tried.empty()) {
            schedule_unheld_append();
        }
        entry.tried.clear();
        return;
    }
    entry.tried.push_back(*holder);
    if (std::find(entry.holders.begin(), entry.holders.end(), *holder) == entry.holders.end()) {
        entry.holders.push_back(*holder);
    }
    peers_.send_hold(*holder, usage_hold{entry.record});
}

void usage_outbox::allow_finish(pending_usage& entry)
{
    const auto may_finish = std::exchange(entry.may_finish, nullptr);
    if (may_finish) {
        may_finish();
    }
}

void usage_outbox::on_held(boot_id from, const usage_held& message)
{
    const auto found = pending_.find(message.sequence);
    if (found == pending_.end()) {
        // The log has the record; the release was lost, or it arrived before the hold.
        peers_.send_release(from, usage_release{{message.sequence}});
        return;
    }
    pending_usage& entry = found->second;
    entry.held_by = from;
    if (message.overdue) {
        peers_.send_hold(from, usage_hold{entry.record});
    }
    allow_finish(entry);
}

void usage_outbox::on_hold(boot_id from, const usage_hold& message)
{
    const usage_sequence& sequence = message.record.sequence;
    const bool known = holder_.holds(from, sequence);
    if (!known && holder_.size() + taken_over_ >= settings_.max_held) {
        ++counters_.declined;
        return;
    }
    counters_.held_for_others += known ? 0 : 1;
    holder_.hold(from, message.record, loop_.time().now());
    peers_.send_held(from, usage_held{sequence, false});
    schedule_overdue_check();
}

void usage_outbox::on_release(boot_id from, const usage_release& message)
{
    for (const usage_sequence& sequence : message.sequences) {
        holder_.release(from, sequence);
    }
}

void usage_outbox::on_member_gone(boot_id member)
{
    take_over(holder_.take_over(member));
    for (auto& [sequence, entry] : pending_) {
        if (entry.held_by == member) {
            entry.held_by.reset();
            schedule_if_alive(duration::zero(),
                              [sequence = sequence](usage_outbox& self) { self.request_hold(sequence); });
        }
    }
}

void usage_outbox::schedule_overdue_check()
{
    if (overdue_check_scheduled_ || holder_.size() == 0) {
        return;
    }
    overdue_check_scheduled_ = true;
    schedule_if_alive(overdue_check_interval, [](usage_outbox& self) { self.check_overdue(); });
}

void usage_outbox::check_overdue()
{
    overdue_check_scheduled_ = false;
    usage_holder::overdue_records overdue = holder_.collect_overdue(loop_.time().now());
    for (const auto& [held_for, sequence] : overdue.query) {
        peers_.send_held(held_for, usage_held{sequence, true});
    }
    take_over(std::move(overdue.take_over));
    schedule_overdue_check();
}

void usage_outbox::flush()
{
    flushing_ = true;
    if (!append_in_flight_) {
        append_batch();
    }
}

void usage_outbox::schedule_append()
{
    if (append_scheduled_ || append_in_flight_ || pending_.empty()) {
        return;
    }
    append_scheduled_ = true;
    schedule_if_alive(next_append_ - loop_.time().now(), [](usage_outbox& self) {
        self.append_scheduled_ = false;
        if (!self.append_in_flight_) {
            self.append_batch();
        }
    });
}

void usage_outbox::schedule_unheld_append()
{
    if (unheld_append_scheduled_) {
        return;
    }
    unheld_append_scheduled_ = true;
    schedule_if_alive(settings_.unheld_append_interval, [](usage_outbox& self) {
        self.unheld_append_scheduled_ = false;
        if (!self.append_in_flight_) {
            self.append_batch();
        }
    });
}

void usage_outbox::append_batch()
{
    append_request batch{usage_stream(), {}};
    std::vector<usage_sequence> sequences;
    for (const auto& [sequence, entry] : pending_) {
        if (sequences.size() == settings_.max_batch_records) {
            break;
        }
        sequences.push_back(sequence);
        batch.payloads.push_back(encode(entry.record));
    }
    if (sequences.empty()) {
        return;
    }
    append_in_flight_ = true;
    next_append_ = loop_.time().now() + settings_.append_interval;
    ++counters_.appends;
    log_.append(std::move(batch), [this, alive = std::weak_ptr(alive_),
                                   sequences = std::move(sequences)](const outcome<append_receipt>& receipt) {
        if (!alive.expired()) {
            on_appended(sequences, receipt.has_value());
        }
    });
}

void usage_outbox::on_appended(const std::vector<usage_sequence>& sequences, bool ok)
{
    append_in_flight_ = false;
    if (!ok) {
        // The records may be in the log nevertheless; the fold drops the duplicates.
        ++counters_.failed_appends;
        next_append_ = loop_.time().now() + settings_.retry_interval;
        schedule_append();
        return;
    }
    confirm(sequences);
    if (flushing_ && !pending_.empty()) {
        append_batch();
        return;
    }
    schedule_append();
}

void usage_outbox::confirm(const std::vector<usage_sequence>& sequences)
{
    std::map<boot_id, usage_release> releases;
    for (const usage_sequence& sequence : sequences) {
        auto entry = pending_.extract(sequence);
        taken_over_ -= sequence.origin == self_ ? 0 : 1;
        ++counters_.confirmed;
        for (const boot_id holder : entry.mapped().holders) {
            releases[holder].sequences.push_back(sequence);
        }
        allow_finish(entry.mapped());
    }
    for (const auto& [holder, release] : releases) {
        peers_.send_release(holder, release);
    }
}

} // namespace agatespar
