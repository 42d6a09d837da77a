// Reads pages of newest records, then the log from there on.
#include <agatespar/gateway/topic_follower.h>

#include <algorithm>

namespace agatespar {

// A failed read is tried again after this, doubled each time: a few tries within the configuration's two seconds.
static constexpr std::chrono::milliseconds first_retry{100};
static constexpr int most_doublings = 6;
// Changes that are kept for VMs that fell behind; whoever needs older ones takes all newest records instead.
static constexpr std::size_t most_recent = 1024;
static constexpr std::size_t most_recent_bytes = 256U * 1024U;

topic_follower::topic_follower(event_loop& loop, const fleet_store& store, const follower_settings& settings,
                               follower_callbacks callbacks)
    : loop_(loop), store_(store), settings_(settings), callbacks_(std::move(callbacks)), whole_(settings.begins_empty),
      self_(std::make_shared<topic_follower*>(this))
{
}

topic_follower::~topic_follower()
{
    *self_ = nullptr;
    if (timer_) {
        loop_.cancel(*timer_);
    }
}

void topic_follower::after(std::chrono::milliseconds delay, std::function<void()> action)
{
    timer_ = loop_.schedule(delay, [this, action = std::move(action)] {
        timer_.reset();
        action();
    });
}

void topic_follower::set_reading(bool reading, std::chrono::milliseconds longest_retry)
{
    reading_ = reading;
    longest_retry_ = longest_retry;
    if (reading_ && !busy_) {
        resuming_ = whole_ && complete_;
        read_more();
    }
}

/// Goes on with whatever is to be read next, unless others read.
void topic_follower::read_more()
{
    busy_ = reading_;
    if (!busy_) {
        return;
    }
    if (whole_) {
        read_on();
    }
    else {
        read_newest({});
    }
}

void topic_follower::retry(std::function<void()> action)
{
    const auto delay = std::min(longest_retry_, first_retry * (1 << std::min(failures_, most_doublings)));
    ++failures_;
    after(delay, std::move(action));
}

void topic_follower::note_reachable(bool reachable, const std::string& reason, steady_time since)
{
    if (reachable) {
        failures_ = 0;
    }
    if (reachable_ != reachable) {
        reachable_ = reachable;
        callbacks_.reachable(reachable, reason, since);
    }
}

/// @return when the store was lost, if a read has failed now. A VM that was told of it until lately has read nothing
/// meanwhile; another one's read was out since the store last answered it.
steady_time topic_follower::lost_since() const
{
    return passed_on_at_ > answered_at_ ? passed_on_at_ : loop_.time().now();
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
            note_reachable(false, page.error().message, lost_since());
            retry([this] { read_more(); });
            return;
        }
        answered_at_ = loop_.time().now();
        note_reachable(true, {}, answered_at_);
        take_page(*page, after.empty());
    });
}

void topic_follower::take_page(const newest_page& page, bool first)
{
    if (first) {
        seen_.clear();
        // Pages are no snapshot, and the end that the store tells with one may be later than its records: what changed
        // meanwhile stands in the log after the last record of the first page.
        next_ = std::max(next_, first_kept_);
        for (const keyed_record& record : page.records) {
            next_ = std::max(next_, record.offset + 1);
        }
    }
    for (const keyed_record& record : page.records) {
        seen_.insert(record.key);
        tell(record);
    }
    if (page.more && !page.records.empty()) {
        read_newest(page.records.back().key);
        return;
    }
    paging_ = false;
    drop_unseen(next_);
    become_whole();
    // Others may pass the topic on from here, which is decided first.
    after(settings_.pause, [this] { read_more(); });
}

/// Tells that the keys which the newest records lack are gone, but for those that are newer than these.
void topic_follower::drop_unseen(std::uint64_t before)
{
    std::vector<std::string> gone;
    for (const auto& [key, known] : told_) {
        if (!seen_.contains(key) && known.offset < before) {
            gone.push_back(key);
        }
    }
    for (const std::string& key : gone) {
        told_.erase(key);
        callbacks_.changed({key, std::nullopt, next_});
    }
}

void topic_follower::become_whole()
{
    forget_recent();
    whole_ = true;
    note_complete();
}

void topic_follower::note_complete()
{
    if (!complete_) {
        complete_ = true;
        callbacks_.complete();
    }
}

std::chrono::milliseconds topic_follower::next_wait() const
{
    if (!reachable_ || resuming_) {
        // Answered at once, so that the store's return is noticed.
        return std::chrono::milliseconds{0};
    }
    return calm_ ? settings_.wait : settings_.careful_wait;
}

void topic_follower::read_on()
{
    const auto wait = next_wait();
    const steady_time asked = loop_.time().now();
    store_.read_from(settings_.topic, next_, wait,
                     [this, self = self_, wait, asked](const outcome<log_stretch>& stretch) {
                         if (*self == nullptr) {
                             return;
                         }
                         if (!stretch) {
                             note_reachable(false, stretch.error().message, lost_since());
                             calm_ = false;
                             retry([this] { read_more(); });
                             return;
                         }
                         answered_at_ = loop_.time().now();
                         resuming_ = false;
                         const bool slow = loop_.time().now() - asked > wait + settings_.slow_answer;
                         calm_ = stretch->records.empty() && !stretch->lost && !slow && wait.count() > 0;
                         note_reachable(true, {}, answered_at_);
                         take_stretch(*stretch);
                     });
}

void topic_follower::take_stretch(const log_stretch& stretch)
{
    if (stretch.lost) {
        first_kept_ = std::max(first_kept_, stretch.first);
        whole_ = next_ >= first_kept_;
        read_more();
        return;
    }
    for (const keyed_record& record : stretch.records) {
        // Another VM may have passed on later ones meanwhile.
        if (record.offset >= next_) {
            tell(record);
        }
    }
    next_ = std::max(next_, stretch.end);
    note_complete();
    after(settings_.pause, [this] { read_more(); });
}

void topic_follower::note_passed_on(steady_time heard_at)
{
    passed_on_at_ = heard_at;
    if (!reading_) {
        note_reachable(true, "another VM hears the store", loop_.time().now());
    }
}

void topic_follower::note_not_passed_on()
{
    if (!reading_) {
        note_reachable(false, "no other VM hears the store", passed_on_at_);
    }
}

void topic_follower::take_changes(std::uint64_t from, std::uint64_t end, const std::vector<keyed_record>& records)
{
    if (!whole_ || paging_ || from > next_ || end <= next_) {
        return;
    }
    for (const keyed_record& record : records) {
        if (record.offset >= next_) {
            tell(record);
        }
    }
    next_ = end;
}

void topic_follower::take_newest(std::uint64_t end, const std::vector<keyed_record>& records)
{
    if (paging_ || (whole_ && end <= next_)) {
        return;
    }
    seen_.clear();
    for (const keyed_record& record : records) {
        seen_.insert(record.key);
        // A key that is older than what is known here and yet not known was dropped since.
        if (!whole_ || record.offset >= next_) {
            tell(record);
        }
    }
    next_ = std::max(next_, end);
    drop_unseen(end);
    become_whole();
}

std::optional<std::vector<keyed_record>> topic_follower::changes_since(std::uint64_t from) const
{
    if (!whole_ || from < recent_from_) {
        return std::nullopt;
    }
    std::vector<keyed_record> changes;
    for (const keyed_record& record : recent_) {
        if (record.offset >= from) {
            changes.push_back(record);
        }
    }
    return changes;
}

std::vector<keyed_record> topic_follower::newest() const
{
    std::vector<keyed_record> records;
    records.reserve(told_.size());
    for (const auto& [key, known] : told_) {
        records.push_back({key, known.value, known.offset});
    }
    return records;
}

const std::string* topic_follower::value_of(const std::string& key) const
{
    const auto known = told_.find(key);
    return known == told_.end() ? nullptr : &known->second.value;
}

void topic_follower::tell(const keyed_record& record)
{
    const auto known = told_.find(record.key);
    if (known != told_.end() && record.offset <= known->second.offset) {
        return;
    }
    if (record.value) {
        told_[record.key] = {record.offset, *record.value};
    }
    else if (known != told_.end()) {
        told_.erase(known);
    }
    remember(record);
    callbacks_.changed(record);
}

void topic_follower::remember(const keyed_record& record)
{
    recent_.push_back(record);
    recent_bytes_ += record.value ? record.value->size() : 0;
    while (recent_.size() > most_recent || recent_bytes_ > most_recent_bytes) {
        recent_from_ = recent_.front().offset + 1;
        recent_bytes_ -= recent_.front().value ? recent_.front().value->size() : 0;
        recent_.pop_front();
    }
}

void topic_follower::forget_recent()
{
    recent_.clear();
    recent_bytes_ = 0;
    recent_from_ = next_;
}

} // namespace agatespar
