// Writes rows of many VMs in one call: they go up to a reader with the questions of those who have them.
#include <agatespar/gateway/record_relay.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>

namespace agatespar {

// The length of a key takes one byte in the store.
static constexpr std::size_t most_key_bytes = 255;

// The topics that the system writes rows of its own to.
static bool is_own_topic(std::uint8_t topic)
{
    return topic == static_cast<std::uint8_t>(fleet_topic::vms) ||
           topic == static_cast<std::uint8_t>(fleet_topic::evidence);
}

void record_relay::write_row(fleet_topic topic, const keyed_record& row)
{
    pending_row& pending = rows_[{static_cast<std::uint8_t>(topic), row.key}];
    pending.is_own = true;
    if (pending.value == row.value) {
        return;
    }
    pending.value = *row.value;
    pending.since = loop_.time().now();
    pending.written_at.reset();
    note_row();
}

/// Takes a row of a VM that asks.
void record_relay::gather_row(const row_to_write& row)
{
    const bool has_key = !row.key.empty() && row.key.size() <= most_key_bytes;
    // A record without a value drops its key.
    if (!is_own_topic(row.topic) || !has_key || row.value.empty()) {
        log_event(log_severity::warning, "row_ignored", {{"key", row.key}, {"topic", static_cast<int>(row.topic)}});
        return;
    }
    const std::string* known = followers_[row.topic]->value_of(row.key);
    if (known != nullptr && *known == row.value) {
        return;
    }
    pending_row& pending = rows_[{row.topic, row.key}];
    if (pending.value == row.value) {
        return;
    }
    pending = {row.value, loop_.time().now(), false, std::nullopt};
    note_row();
}

/// There is a new row: it is written, or passed on, with those that come soon after it.
void record_relay::note_row()
{
    if (row_timer_) {
        return;
    }
    row_timer_ = loop_.schedule(writes_rows() ? settings_.row_gather_time : settings_.gather_time, [this] {
        row_timer_.reset();
        if (!writes_rows()) {
            ask_sources();
            return;
        }
        write_rows(&pending_row::is_unwritten);
    });
}

/// @return whether this VM writes what others pass up to it.
bool record_relay::writes_rows() const
{
    return is_reader_ || sources_.empty();
}

std::vector<row_to_write> record_relay::rows_to_pass_on() const
{
    std::vector<row_to_write> rows;
    for (const auto& [key, row] : rows_) {
        if (row.is_unwritten()) {
            rows.push_back({key.first, key.second, row.value});
        }
    }
    return rows;
}

/// Forgets rows that are seen, and writes those itself that nobody wrote in time.
void record_relay::tend_rows()
{
    const steady_time now = loop_.time().now();
    std::erase_if(rows_, [&](const auto& entry) {
        const auto& [key, row] = entry;
        const std::string* known = followers_[key.first]->value_of(key.second);
        const bool is_old = !row.is_own && now - row.written_at.value_or(row.since) >= settings_.row_memory;
        return is_old || (known != nullptr && *known == row.value);
    });
    // While the store is away nobody writes.
    const bool may_write = !hears_a_source() || hears_store();
    if (may_write && writes_rows() && !row_timer_) {
        write_rows(&pending_row::is_unwritten);
    }
    write_rows([&](const pending_row& row) {
        const bool waits = now - row.written_at.value_or(row.since) < settings_.row_time;
        return row.is_own && may_write && !waits;
    });
}

void record_relay::renew_own_row()
{
    const steady_time now = loop_.time().now();
    const auto listed = vms_.find(settings_.self.name);
    if (listed == vms_.end() || now - renewed_at_ < settings_.renewal_time) {
        return;
    }
    renewed_at_ = now;
    settings_.self.turn = listed->second.turn + 1;
}

/// The first of the readers drops the rows of VMs that left for good.
void record_relay::drop_old_rows()
{
    const steady_time now = loop_.time().now();
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(now - judged_at_);
    if (passed < settings_.judge_interval) {
        return;
    }
    judged_at_ = now;
    const bool judges = plan_ && !plan_->readers.empty() && plan_->readers.front().name == settings_.self.name;
    if (!judges || !reads_fresh() || writing_) {
        return;
    }
    std::vector<keyed_record> drops;
    for (const auto& [name, vm] : vms_) {
        auto& unrenewed = unrenewed_[name];
        // A VM that was frozen has not heard of what came meanwhile.
        unrenewed += std::min(passed, 2 * settings_.judge_interval);
        if (unrenewed >= settings_.listing_time) {
            unrenewed = {};
            drops.push_back({vm_record_key(name), std::nullopt, 0});
            log_event(log_severity::info, "vm_left_for_good",
                      {{"vm", name}, {"not_renewed_ms", settings_.listing_time.count()}});
        }
    }
    if (!drops.empty()) {
        append(fleet_topic::vms, drops, std::nullopt, "rows of VMs that left");
    }
}

/// Appends the rows that are due, a topic at a time.
void record_relay::write_rows(const std::function<bool(const pending_row&)>& is_due)
{
    const steady_time now = loop_.time().now();
    if (writing_ || (write_after_ && now < *write_after_)) {
        return;
    }
    std::vector<keyed_record> records;
    std::uint8_t topic = 0;
    for (auto& [key, row] : rows_) {
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
