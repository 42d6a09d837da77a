// Keeps what is known of a topic in force while the store, restored from an older copy, may lack it.
#include <agatespar/gateway/topic_follower.h>

namespace agatespar {

// Removed keys are remembered for longer than a copy of the store is old (some seconds), and for no more keys than a
// large fleet has servers.
static constexpr std::chrono::seconds removal_lifetime{60};
static constexpr std::size_t max_removals = 4096;

/// Starts over at offset 0 of a restored store, without dropping what is known.
void topic_follower::carry_over_records(store_era era)
{
    if (callbacks_.restored) {
        callbacks_.restored(era_, era, next_offset_);
    }
    era_ = era;
    next_offset_ = 0;
    first_available_ = 0;
    gap_free_ = false;
    clear_history();
    doubtful_records_.clear();
    for (auto& [key, known] : known_records_) {
        known.is_carried = true;
    }
    std::erase_if(removals_,
                  [now = loop_.time().now()](const auto& entry) { return now - entry.second.at >= removal_lifetime; });
    for (auto& [key, removed] : removals_) {
        removed.is_carried = true;
    }
    schedule_settling();
}

void topic_follower::schedule_settling()
{
    if (settle_timer_) {
        loop_.cancel(*settle_timer_);
    }
    settle_timer_ = loop_.schedule(settings_.restore_grace, [this] {
        settle_timer_.reset();
        if (!gap_free_) {
            schedule_settling();
            return;
        }
        settle_carried_records();
    });
}

/// Replaces the carried records by what the store has.
void topic_follower::settle_carried_records()
{
    for (const auto& [key, record] : std::exchange(doubtful_records_, {})) {
        apply_record(record);
    }
    std::vector<std::string> missing;
    for (const auto& [key, known] : known_records_) {
        if (known.is_carried) {
            missing.push_back(key);
        }
    }
    for (const std::string& key : missing) {
        known_records_.erase(key);
        notify_changed({key, std::nullopt, next_offset_});
    }
    std::erase_if(removals_, [](const auto& entry) { return entry.second.is_carried; });
}

/// @return whether a record of the store's newest ones may be older than what is known of its key: its offset is lower
/// than the one that the key's last record or removal had before the store was restored.
bool topic_follower::is_doubtful(const keyed_record& record) const
{
    if (callbacks_.ignores_older && callbacks_.ignores_older(record.key)) {
        return false;
    }
    if (const auto known = known_records_.find(record.key); known != known_records_.end()) {
        const newest_record& held = known->second;
        return held.is_carried && record.offset < held.offset && record.value != held.value;
    }
    const auto removed = removals_.find(record.key);
    return removed != removals_.end() && removed->second.is_carried && record.offset < removed->second.offset;
}

void topic_follower::apply_newest_record(const keyed_record& record)
{
    if (is_doubtful(record)) {
        doubtful_records_[record.key] = record;
        return;
    }
    apply_record(record);
}

void topic_follower::note_removal(const std::string& key, std::uint64_t offset)
{
    const steady_time now = loop_.time().now();
    if (removals_.size() >= max_removals) {
        std::erase_if(removals_, [now](const auto& entry) { return now - entry.second.at >= removal_lifetime; });
    }
    if (removals_.size() < max_removals) {
        removals_[key] = {offset, now, false};
    }
}

} // namespace agatespar
