// Reads pages of newest records, then the log from there on.
#include <agatespar/gateway/topic_follower.h>

#include <algorithm>

namespace agatespar {

// A failed read is tried again after this, doubled each time: a few tries within the configuration's two seconds.
static constexpr std::chrono::milliseconds first_retry{100};
static constexpr std::chrono::milliseconds longest_retry{1000};

topic_follower::topic_follower(event_loop& loop, const fleet_store& store, const follower_settings& settings,
                               follower_callbacks callbacks)
    : loop_(loop), store_(store), settings_(settings), callbacks_(std::move(callbacks)),
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

void topic_follower::retry(std::function<void()> action)
{
    const auto delay = std::min(longest_retry, first_retry * (1 << std::min(failures_, 4)));
    ++failures_;
    after(delay, std::move(action));
}

void topic_follower::note_reachable(bool reachable, const std::string& reason)
{
    if (reachable) {
        failures_ = 0;
    }
    if (reachable_ != reachable) {
        reachable_ = reachable;
        callbacks_.reachable(reachable, reason);
    }
}

void topic_follower::read_newest(const std::string& after)
{
    store_.read_newest(settings_.topic, after, [this, self = self_, after](const outcome<newest_page>& page) {
        if (*self == nullptr) {
            return;
        }
        if (!page) {
            note_reachable(false, page.error().message);
            retry([this, after] { read_newest(after); });
            return;
        }
        note_reachable(true, {});
        take_page(*page, after.empty());
    });
}

void topic_follower::take_page(const newest_page& page, bool first)
{
    if (first) {
        seen_.clear();
        // Pages are no snapshot, and the end that the store tells with one may be later than its records: what changed
        // meanwhile stands in the log after the last record of the first page.
        next_ = first_kept_;
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
    finish_newest();
}

void topic_follower::finish_newest()
{
    std::vector<std::string> gone;
    for (const auto& [key, offset] : told_) {
        if (!seen_.contains(key)) {
            gone.push_back(key);
        }
    }
    for (const std::string& key : gone) {
        told_.erase(key);
        callbacks_.changed({key, std::nullopt, next_});
    }
    if (!complete_) {
        complete_ = true;
        callbacks_.complete();
    }
    read_on();
}

std::chrono::milliseconds topic_follower::next_wait() const
{
    if (!reachable_) {
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
                             note_reachable(false, stretch.error().message);
                             calm_ = false;
                             retry([this] { read_on(); });
                             return;
                         }
                         const bool slow = loop_.time().now() - asked > wait + settings_.slow_answer;
                         calm_ = stretch->records.empty() && !stretch->lost && !slow && wait.count() > 0;
                         note_reachable(true, {});
                         take_stretch(*stretch);
                     });
}

void topic_follower::take_stretch(const log_stretch& stretch)
{
    if (stretch.lost) {
        first_kept_ = std::max(first_kept_, stretch.first);
        read_newest({});
        return;
    }
    for (const keyed_record& record : stretch.records) {
        tell(record);
    }
    next_ = std::max(next_, stretch.end);
    after(settings_.pause, [this] { read_on(); });
}

void topic_follower::tell(const keyed_record& record)
{
    const auto known = told_.find(record.key);
    if (known != told_.end() && record.offset <= known->second) {
        return;
    }
    if (record.value) {
        told_[record.key] = record.offset;
    }
    else if (known != told_.end()) {
        told_.erase(known);
    }
    callbacks_.changed(record);
}

} // namespace agatespar
