// Reads the newest records page by page, then the log from the offset that they reach.
#include <agatespar/gateway/topic_follower.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>

namespace agatespar {

// Delay before the first retry of a failed read; it doubles with each retry. Allows a few retries within the two
// seconds in which a new configuration must take effect.
static constexpr std::chrono::milliseconds initial_retry_delay{100};
static constexpr int max_doublings = 6;
// Limits of the history of changes that is kept for VMs that have fallen behind. A VM that lacks older changes gets the
// newest records of all keys instead.
static constexpr std::size_t max_history_records = 1024;
static constexpr std::size_t max_history_bytes = 256U * 1024U;
topic_follower::topic_follower(event_loop& loop, const fleet_store& store, const follower_settings& settings,
                               follower_callbacks callbacks)
    : loop_(loop), store_(store), settings_(settings), callbacks_(std::move(callbacks)),
      gap_free_(settings.starts_empty), self_(std::make_shared<topic_follower*>(this))
{
}

topic_follower::~topic_follower()
{
    *self_ = nullptr;
    for (const auto& timer : {timer_, settle_timer_}) {
        if (timer) {
            loop_.cancel(*timer);
        }
    }
}

void topic_follower::after(std::chrono::milliseconds delay, std::function<void()> action)
{
    timer_ = loop_.schedule(delay, [this, action = std::move(action)] {
        timer_.reset();
        action();
    });
}

void topic_follower::set_reading(bool reading, std::chrono::milliseconds max_retry_delay)
{
    reading_ = reading;
    max_retry_delay_ = max_retry_delay;
    if (reading_ && !read_pending_) {
        resuming_ = gap_free_ && complete_;
        continue_reading();
    }
}

/// Reads the log if no record is missing, else the newest records. Does nothing while reading is disabled.
void topic_follower::continue_reading()
{
    read_pending_ = reading_;
    if (!read_pending_) {
        return;
    }
    if (gap_free_) {
        read_changes();
    }
    else {
        read_newest({});
    }
}

void topic_follower::retry(std::function<void()> action)
{
    const auto delay = std::min(max_retry_delay_, initial_retry_delay * (1 << std::min(failures_, max_doublings)));
    ++failures_;
    after(delay, std::move(action));
}

void topic_follower::set_reachable(bool reachable, const std::string& reason, steady_time since)
{
    if (reachable) {
        failures_ = 0;
    }
    if (reachable_ != reachable) {
        reachable_ = reachable;
        callbacks_.reachable(reachable, reason, since);
    }
}

/// @return since when the store is unreachable, given that a read has just failed. If other VMs had contact with the
/// store after this VM's last successful read, that is the time of their last contact: this VM has not read since. If
/// not, it is now, as the failed read has been in flight since the last answer.
steady_time topic_follower::unreachable_since() const
{
    return upstream_contact_at_ > last_answer_at_ ? upstream_contact_at_ : loop_.time().now();
}

void topic_follower::read_newest(const std::string& after)
{
    paging_ = true;
    store_.read_newest(settings_.topic, after, [this, self = self_, after](const outcome<newest_page>& page) {
        if (*self == nullptr) {
            return;
        }
        if (!page) {
            paging_ = false;
            set_reachable(false, page.error().message, unreachable_since());
            retry([this] { continue_reading(); });
            return;
        }
        last_answer_at_ = loop_.time().now();
        set_reachable(true, {}, last_answer_at_);
        if (!accept_era(page->era)) {
            paging_ = false;
            return;
        }
        apply_page(*page, after.empty());
    });
}

/// Compares the era that an answer states with the era of the offsets held. Unless they are equal, the answer must not
/// be applied; the next read is scheduled here.
/// @return whether the answer may be applied.
bool topic_follower::accept_era(std::optional<store_era> era)
{
    if (!era || *era == era_) {
        return true;
    }
    if (*era < era_) {
        // Another VM has forwarded records of the restored store while this read was in flight.
        read_again_after_gap();
        return false;
    }
    const bool is_first = era_ == store_era{};
    adopt_era(*era);
    if (!is_first) {
        read_again_after_gap();
    }
    return is_first;
}

void topic_follower::adopt_era(store_era era)
{
    if (era_ == store_era{}) {
        // Nothing shows that offsets were assigned again.
        era_ = era;
        return;
    }
    carry_over_records(era);
}

/// Reads the newest records again: at once after the first answer that shows a gap, and later after further ones.
void topic_follower::read_again_after_gap()
{
    const auto retry_delay = std::min(max_retry_delay_, initial_retry_delay * (1 << std::min(gaps_, max_doublings)));
    const auto delay = gaps_ == 0 ? std::chrono::milliseconds{0} : retry_delay;
    ++gaps_;
    after(delay, [this] { continue_reading(); });
}

void topic_follower::apply_page(const newest_page& page, bool first)
{
    if (first) {
        listed_keys_.clear();
        // The pages are no consistent snapshot, and the end offset that the store returns with a page may lie after the
        // records in it. So the log is read from the last record of the first page on; it holds all later changes.
        pages_end_ = std::max(next_offset_, first_available_);
        for (const keyed_record& record : page.records) {
            pages_end_ = std::max(pages_end_, record.offset + 1);
        }
    }
    for (const keyed_record& record : page.records) {
        listed_keys_.insert(record.key);
        apply_newest_record(limit_value(record));
    }
    if (page.more && !page.records.empty()) {
        read_newest(page.records.back().key);
        return;
    }
    paging_ = false;
    // Only now is every record before this offset held: each key has been on a page that was read after the first one.
    next_offset_ = pages_end_;
    remove_missing_keys(next_offset_);
    mark_gap_free();
    // The delay lets the owner disable reading first, if other VMs can supply the changes from here on.
    after(settings_.poll_interval, [this] { continue_reading(); });
}

/// Removes the keys that are absent from the newest records, and reports their removal. Keys whose record has an
/// offset of `before` or later are kept: they were written after those records. Carried records are settled later.
void topic_follower::remove_missing_keys(std::uint64_t before)
{
    std::vector<std::string> removed_keys;
    for (const auto& [key, known] : known_records_) {
        if (!listed_keys_.contains(key) && known.offset < before && !known.is_carried) {
            removed_keys.push_back(key);
        }
    }
    for (const std::string& key : removed_keys) {
        known_records_.erase(key);
        note_removal(key, next_offset_);
        notify_changed({key, std::nullopt, next_offset_});
    }
}

void topic_follower::mark_gap_free()
{
    clear_history();
    gap_free_ = true;
    mark_complete();
}

void topic_follower::mark_complete()
{
    if (!complete_) {
        complete_ = true;
        callbacks_.complete();
    }
}

std::chrono::milliseconds topic_follower::next_wait() const
{
    if (!reachable_ || resuming_) {
        // Without a wait the store answers at once, so that its recovery is noticed.
        return std::chrono::milliseconds{0};
    }
    return last_read_idle_ ? settings_.wait : settings_.short_wait;
}

void topic_follower::read_changes()
{
    const auto wait = next_wait();
    const steady_time sent_at = loop_.time().now();
    store_.read_from(settings_.topic, next_offset_, wait,
                     [this, self = self_, wait, sent_at, sent_in = era_](const outcome<log_range>& range) {
                         if (*self == nullptr) {
                             return;
                         }
                         if (!range) {
                             set_reachable(false, range.error().message, unreachable_since());
                             last_read_idle_ = false;
                             retry([this] { continue_reading(); });
                             return;
                         }
                         last_answer_at_ = loop_.time().now();
                         resuming_ = false;
                         const bool slow = loop_.time().now() - sent_at > wait + settings_.slow_answer_margin;
                         last_read_idle_ = range->records.empty() && !range->lost && !slow && wait.count() > 0;
                         set_reachable(true, {}, last_answer_at_);
                         if (sent_in != era_) {
                             // The offset that was asked for is not of this era.
                             read_again_after_gap();
                             return;
                         }
                         if (accept_era(range->era)) {
                             apply_range(*range);
                         }
                     });
}

void topic_follower::apply_range(const log_range& range)
{
    if (range.lost) {
        if (range.first <= next_offset_) {
            // The offset lies beyond the end of a restored store that has not stated a new era.
            carry_over_records(era_);
        }
        first_available_ = std::max(first_available_, range.first);
        gap_free_ = false;
        read_again_after_gap();
        return;
    }
    gaps_ = 0;
    // Another VM may have forwarded later records while this read was in flight.
    if (range.end > next_offset_) {
        extend_to(range.end, range.records);
    }
    mark_complete();
    after(settings_.poll_interval, [this] { continue_reading(); });
}

void topic_follower::on_upstream_contact(steady_time last_contact_at)
{
    upstream_contact_at_ = last_contact_at;
    if (!reading_) {
        set_reachable(true, "another VM has contact with the store", loop_.time().now());
    }
}

void topic_follower::on_upstream_contact_lost()
{
    if (!reading_) {
        set_reachable(false, "no other VM has contact with the store", upstream_contact_at_);
    }
}

void topic_follower::apply_changes(store_era era, std::uint64_t from, std::uint64_t end,
                                   const std::vector<keyed_record>& records)
{
    if (era_ == store_era{}) {
        adopt_era(era);
    }
    if (era != era_ || !gap_free_ || paging_ || from > next_offset_ || end <= next_offset_) {
        return;
    }
    extend_to(end, records);
}

/// Applies the changes from `next_offset_` to an end. All of them enter the history, also those that the pages of
/// newest records or a snapshot of another VM held already: VMs that are supplied from the history have not seen these.
/// @param records all changes between the two offsets, in the order of their offsets; they may start earlier.
void topic_follower::extend_to(std::uint64_t end, const std::vector<keyed_record>& records)
{
    for (const keyed_record& record : records) {
        if (record.offset >= next_offset_) {
            const keyed_record limited = limit_value(record);
            append_to_history(limited);
            apply_record(limited);
        }
    }
    next_offset_ = end;
}

void topic_follower::apply_newest(store_era era, std::uint64_t end, const std::vector<keyed_record>& records)
{
    if (paging_ || era < era_) {
        return;
    }
    if (era > era_) {
        adopt_era(era);
    }
    const bool is_older = gap_free_ ? end <= next_offset_ : end < next_offset_;
    if (is_older) {
        return;
    }
    listed_keys_.clear();
    for (const keyed_record& record : records) {
        listed_keys_.insert(record.key);
        // A record from before `next_offset_` whose key is unknown here was removed later; it must not reappear.
        if (record.offset >= next_offset_) {
            apply_newest_record(limit_value(record));
        }
    }
    next_offset_ = end;
    remove_missing_keys(end);
    mark_gap_free();
}

std::optional<std::vector<keyed_record>> topic_follower::changes_since(std::uint64_t from) const
{
    if (!gap_free_ || from < history_start_) {
        return std::nullopt;
    }
    std::vector<keyed_record> changes;
    for (const keyed_record& record : history_) {
        if (record.offset >= from) {
            changes.push_back(record);
        }
    }
    return changes;
}

std::vector<keyed_record> topic_follower::newest() const
{
    std::vector<keyed_record> records;
    records.reserve(known_records_.size());
    for (const auto& [key, known] : known_records_) {
        if (!known.is_carried) {
            records.push_back({key, known.value, known.offset});
        }
    }
    for (const auto& [key, record] : doubtful_records_) {
        records.push_back(record);
    }
    return records;
}

const std::string* topic_follower::value_of(const std::string& key) const
{
    if (const auto known = known_records_.find(key); known != known_records_.end() && !known->second.is_carried) {
        return &known->second.value;
    }
    const auto doubtful = doubtful_records_.find(key);
    const bool has_value = doubtful != doubtful_records_.end() && doubtful->second.value;
    return has_value ? &*doubtful->second.value : nullptr;
}

void topic_follower::apply_record(const keyed_record& record)
{
    const auto known = known_records_.find(record.key);
    if (known != known_records_.end() && !known->second.is_carried && record.offset <= known->second.offset) {
        return;
    }
    doubtful_records_.erase(record.key);
    if (record.value) {
        known_records_[record.key] = {record.offset, *record.value};
        removals_.erase(record.key);
    }
    else if (known != known_records_.end()) {
        known_records_.erase(known);
        note_removal(record.key, record.offset);
    }
    notify_changed(record);
}

keyed_record topic_follower::limit_value(const keyed_record& record) const
{
    if (!record.value || record.value->size() <= settings_.max_value_bytes) {
        return record;
    }
    log_event(
        log_severity::warning, "store_record_too_large",
        {{"key", record.key}, {"offset", record.offset}, {"bytes", static_cast<std::uint64_t>(record.value->size())}});
    return {record.key, std::nullopt, record.offset};
}

void topic_follower::notify_changed(keyed_record record)
{
    record.era = era_;
    callbacks_.changed(record);
}

void topic_follower::append_to_history(const keyed_record& record)
{
    history_.push_back(record);
    history_bytes_ += record.value ? record.value->size() : 0;
    while (history_.size() > max_history_records || history_bytes_ > max_history_bytes) {
        history_start_ = history_.front().offset + 1;
        history_bytes_ -= history_.front().value ? history_.front().value->size() : 0;
        history_.pop_front();
    }
}

void topic_follower::clear_history()
{
    history_.clear();
    history_bytes_ = 0;
    history_start_ = next_offset_;
}

} // namespace agatespar
