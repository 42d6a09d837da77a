// Writes rows of many VMs in one call: each VM forwards its rows in its pull requests, up to a reader.
#include <agatespar/gateway/record_relay.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>

namespace agatespar {

// The store encodes the length of a key in one byte.
static constexpr std::size_t max_key_bytes = 255;

// Returns whether the system itself writes rows to this topic.
static bool accepts_rows(std::uint8_t topic)
{
    return topic == static_cast<std::uint8_t>(fleet_topic::vms) ||
           topic == static_cast<std::uint8_t>(fleet_topic::evidence);
}

void record_relay::write_row(fleet_topic topic, const keyed_record& row)
{
    if (topic == fleet_topic::evidence) {
        own_evidence_[row.key] = *row.value;
    }
    pending_row& pending = pending_rows_[{static_cast<std::uint8_t>(topic), row.key}];
    pending.is_own = true;
    if (pending.value == row.value) {
        return;
    }
    pending.value = *row.value;
    pending.since = loop_.time().now();
    pending.written_at.reset();
    schedule_row_batch();
}

/// Queues the own rows of evidence that the store lacks, or has in an older form, as it was restored from a copy. The
/// row in the list of VMs is restored by ensure_listed().
void record_relay::restore_own_rows()
{
    const topic_follower& evidence = follower(fleet_topic::evidence);
    if (!evidence.is_gap_free()) {
        return;
    }
    for (const auto& [key, value] : own_evidence_) {
        const std::string* stored = evidence.value_of(key);
        if (stored == nullptr || *stored != value) {
            write_row(fleet_topic::evidence, {key, value, 0});
        }
    }
}

/// Queues a row that a subscriber has forwarded.
void record_relay::queue_forwarded_row(const row_to_write& row)
{
    const bool has_key = !row.key.empty() && row.key.size() <= max_key_bytes;
    // A record without a value would delete its key.
    if (!accepts_rows(row.topic) || !has_key || row.value.empty()) {
        log_event(log_severity::warning, "row_ignored", {{"key", row.key}, {"topic", static_cast<int>(row.topic)}});
        return;
    }
    const std::string* known = followers_[row.topic]->value_of(row.key);
    if (known != nullptr && *known == row.value) {
        return;
    }
    pending_row& pending = pending_rows_[{row.topic, row.key}];
    if (pending.value == row.value) {
        return;
    }
    pending = {row.value, loop_.time().now(), false, std::nullopt};
    schedule_row_batch();
}

/// Schedules the writing or forwarding of new rows, together with those that follow soon.
void record_relay::schedule_row_batch()
{
    if (row_timer_) {
        return;
    }
    row_timer_ = loop_.schedule(is_row_writer() ? settings_.row_batch_delay : settings_.batch_delay, [this] {
        row_timer_.reset();
        if (!is_row_writer()) {
            pull_from_upstreams();
            return;
        }
        write_rows(&pending_row::is_unwritten);
    });
}

/// @return whether this VM writes the rows that others forward to it, rather than forwarding them further.
bool record_relay::is_row_writer() const
{
    return is_reader_ || upstreams_.empty();
}

std::vector<row_to_write> record_relay::rows_to_forward() const
{
    std::vector<row_to_write> rows;
    for (const auto& [key, row] : pending_rows_) {
        if (row.is_unwritten()) {
            rows.push_back({key.first, key.second, row.value});
        }
    }
    return rows;
}

/// Removes rows that have appeared in the store, and writes those of this VM that no reader wrote in time.
void record_relay::process_pending_rows()
{
    const steady_time now = loop_.time().now();
    std::erase_if(pending_rows_, [&](const auto& entry) {
        const auto& [key, row] = entry;
        const std::string* known = followers_[key.first]->value_of(key.second);
        const bool is_old = !row.is_own && now - row.written_at.value_or(row.since) >= settings_.row_retention;
        return is_old || (known != nullptr && *known == row.value);
    });
    // While no VM has contact with the store, no row is written.
    const bool may_write = !has_responsive_upstream() || has_store_contact();
    if (may_write && is_row_writer() && !row_timer_) {
        write_rows(&pending_row::is_unwritten);
    }
    write_rows([&](const pending_row& row) {
        const bool waits = now - row.written_at.value_or(row.since) < settings_.row_write_timeout;
        return row.is_own && may_write && !waits;
    });
}

void record_relay::renew_own_row()
{
    const steady_time now = loop_.time().now();
    const auto listed = vms_.find(settings_.self.name);
    if (listed == vms_.end() || now - renewed_at_ < settings_.row_renewal_interval) {
        return;
    }
    renewed_at_ = now;
    settings_.self.turn = listed->second.turn + 1;
}

/// Deletes the expired rows of VMs. Only the first of the readers does so.
void record_relay::delete_expired_rows()
{
    const steady_time now = loop_.time().now();
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(now - expiry_checked_at_);
    if (passed < settings_.row_expiry_check_interval) {
        return;
    }
    expiry_checked_at_ = now;
    const bool expires_rows = plan_ && !plan_->readers.empty() && plan_->readers.front().name == settings_.self.name;
    if (!expires_rows || !has_direct_store_contact() || write_in_progress_) {
        return;
    }
    std::vector<keyed_record> drops;
    for (const auto& [name, vm] : vms_) {
        auto& unrenewed = unrenewed_[name];
        // After a suspension of this VM, renewals from that time have not arrived yet, so at most two intervals count.
        unrenewed += std::min(passed, 2 * settings_.row_expiry_check_interval);
        if (unrenewed >= settings_.vm_row_lifetime) {
            unrenewed = {};
            drops.push_back({vm_record_key(name), std::nullopt, 0});
            log_event(log_severity::info, "vm_left_for_good",
                      {{"vm", name}, {"not_renewed_ms", settings_.vm_row_lifetime.count()}});
        }
    }
    if (!drops.empty()) {
        append(fleet_topic::vms, drops, std::nullopt, "expired rows of VMs");
    }
}

/// Appends the rows that are due, a topic at a time.
void record_relay::write_rows(const std::function<bool(const pending_row&)>& is_due)
{
    const steady_time now = loop_.time().now();
    if (write_in_progress_ || (next_write_at_ && now < *next_write_at_)) {
        return;
    }
    std::vector<keyed_record> records;
    std::uint8_t topic = 0;
    for (auto& [key, row] : pending_rows_) {
        if (!is_due(row) || (!records.empty() && key.first != topic)) {
            continue;
        }
        topic = key.first;
        row.written_at = now;
        records.push_back({key.second, row.value, 0});
    }
    if (!records.empty()) {
        append(static_cast<fleet_topic>(topic), records, std::nullopt, "rows");
    }
}

} // namespace agatespar
