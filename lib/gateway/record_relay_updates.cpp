// Encodes the records that other VMs lack, and assembles snapshots that take several frames.
#include <agatespar/gateway/record_relay.h>
#include <agatespar/wire/compression.h>
#include <agatespar/wire/transport.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace agatespar {

// Updates of at least this size are compressed. Below it, the frame overhead is about as large as the update, so
// compression saves little.
static constexpr std::size_t min_compressed_bytes = 1024;
// A snapshot is divided into parts of this size, so that each fits into a frame with a record of the maximum size, also
// if it cannot be compressed. A snapshot of the largest fleets has one or two.
static constexpr std::size_t snapshot_part_bytes = max_frame_bytes / 2;
// Limits the memory that the parts of a snapshot take at a receiver.
static constexpr std::size_t max_snapshot_parts = 32;
// Size of a record in a message, besides its key and value.
static constexpr std::size_t record_overhead_bytes = 24;

static topic_update make_update(std::uint8_t topic, std::vector<keyed_record> records)
{
    topic_update update;
    update.topic = topic;
    update.records.reserve(records.size());
    for (keyed_record& record : records) {
        const bool deleted = !record.value;
        update.records.push_back(
            {std::move(record.key), deleted, deleted ? std::string{} : std::move(*record.value), record.offset});
    }
    return update;
}

/// Divides a snapshot into parts that fit into a frame each.
static std::vector<topic_update> divide_snapshot(topic_update snapshot)
{
    std::vector<relayed_record> records = std::exchange(snapshot.records, {});
    std::vector<topic_update> parts{snapshot};
    std::size_t bytes = 0;
    for (relayed_record& record : records) {
        const std::size_t size = record.key.size() + record.value.size() + record_overhead_bytes;
        if (bytes > 0 && bytes + size > snapshot_part_bytes) {
            parts.push_back(snapshot);
            bytes = 0;
        }
        bytes += size;
        parts.back().records.push_back(std::move(record));
    }
    return parts;
}

/// Encodes the update that a VM at a position lacks, unless it is encoded already.
/// @return whether the update is a snapshot rather than changes.
bool record_relay::pack_update(const topic_position& position)
{
    const topic_follower& known = *followers_[position.topic];
    const std::uint64_t era = known.era().value();
    const auto is_current = [&known, era](const packed_update& packed) {
        return packed.era == era && packed.end == known.end() && !packed.frames.empty();
    };
    packed_update& changes = changes_[position.topic];
    if (position.gap_free && changes.from == position.end && is_current(changes)) {
        return false;
    }
    auto records = position.gap_free ? known.changes_since(position.end) : std::nullopt;
    const bool is_snapshot = !records;
    packed_update& packed = is_snapshot ? snapshots_[position.topic] : changes;
    if (is_snapshot && is_current(packed)) {
        return true;
    }
    topic_update update = make_update(position.topic, is_snapshot ? known.newest() : std::move(*records));
    update.newest = is_snapshot;
    update.from = is_snapshot ? 0 : position.end;
    update.end = known.end();
    update.era = era;
    packed = {era, update.from, update.end, {}};
    const std::vector<topic_update> parts =
        is_snapshot ? divide_snapshot(std::move(update)) : std::vector<topic_update>{std::move(update)};
    if (parts.size() > 1) {
        for (std::size_t i = 0; i < parts.size(); ++i) {
            const snapshot_part part{static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(parts.size()), parts[i]};
            packed.frames.push_back({message_kind::records_part, compress(encode(part))});
        }
        return is_snapshot;
    }
    packed_frame frame{message_kind::records_topic, encode(parts.front())};
    if (frame.payload.size() >= min_compressed_bytes) {
        frame = {message_kind::records_packed, compress(frame.payload)};
    }
    packed.frames.push_back(std::move(frame));
    return is_snapshot;
}

/// @return whether all frames were queued for sending.
bool record_relay::send_frames(const std::string& address, const packed_update& packed)
{
    return std::all_of(packed.frames.begin(), packed.frames.end(), [this, &address](const packed_frame& frame) {
        return link_->send(address, frame.kind, frame.payload);
    });
}

void record_relay::handle_snapshot_part(const std::string& from, snapshot_part part)
{
    const bool is_valid = part.update.topic < fleet_topic_count && part.update.newest && part.index < part.count &&
                          part.count <= max_snapshot_parts;
    if (!is_expected_sender(from) || !is_valid) {
        return;
    }
    partial_snapshot& received = received_parts_[part.update.topic];
    if (received.sender != from || received.era != part.update.era || received.end != part.update.end ||
        received.parts.size() != part.count) {
        received = {from, part.update.era, part.update.end, {}};
        received.parts.resize(part.count);
    }
    received.parts[part.index] = std::move(part.update);
    const bool is_complete =
        std::all_of(received.parts.begin(), received.parts.end(), [](const auto& each) { return each.has_value(); });
    if (!is_complete) {
        return;
    }
    topic_update snapshot = std::move(*received.parts.front());
    for (std::size_t i = 1; i < received.parts.size(); ++i) {
        std::vector<relayed_record>& records = received.parts[i]->records;
        snapshot.records.insert(snapshot.records.end(), std::make_move_iterator(records.begin()),
                                std::make_move_iterator(records.end()));
    }
    received = {};
    handle_topic_update(from, snapshot);
}

} // namespace agatespar
