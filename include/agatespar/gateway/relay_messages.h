// Messages by which VMs forward records of the store to each other.
#pragma once

#include <agatespar/wire/codec.h>

#include <cstdint>
#include <string>
#include <vector>

namespace agatespar {

/// A VM's position in one topic.
struct topic_position {
    std::uint8_t topic{0};
    /// The VM has all records before `end`; otherwise it needs a snapshot of all newest records.
    bool gap_free{false};
    /// Offset after the last record that the VM has.
    std::uint64_t end{0};

    MSGPACK_DEFINE_ARRAY(topic, gap_free, end)
};

/// A record of one of the system's own topics that is to be written to the store, batched with those of other VMs.
struct row_to_write {
    std::uint8_t topic{0};
    std::string key;
    std::string value;

    MSGPACK_DEFINE_ARRAY(topic, key, value)
};

/// Requests the records beyond these positions from another VM, and subscribes to later ones for a limited time.
struct records_pull {
    std::vector<topic_position> positions;
    /// No answer has arrived recently, so the connection on which the receiver answers may be broken.
    bool no_recent_answer{false};
    /// Later updates are to be sent as they come; otherwise only this request is answered.
    bool wants_push{false};
    /// Identifies this start of the requesting VM: updates in flight to an earlier start are lost.
    std::uint64_t start{0};
    /// Rows that the store lacks, of the requesting VM and of its own subscribers. The VM to which a row belongs sends
    /// it again until it appears in the store.
    std::vector<row_to_write> rows;
    /// Era of all offsets (`store_era`); 0 if not stated, or by a VM of an earlier version. The VM needs a snapshot of
    /// a topic whose records are of an earlier era.
    std::uint64_t era{0};

    MSGPACK_DEFINE_ARRAY(positions, no_recent_answer, wants_push, start, rows, era)
};

/// One record of a keyed topic.
struct relayed_record {
    std::string key;
    /// The record of this key was deleted.
    bool deleted{false};
    std::string value;
    std::uint64_t offset{0};

    MSGPACK_DEFINE_ARRAY(key, deleted, value, offset)
};

/// Records of one topic that the receiver lacks: the changes from an offset on, or a snapshot of all newest records.
/// Sent as `records_topic`, or compressed as `records_packed`.
struct topic_update {
    std::uint8_t topic{0};
    /// The records are a snapshot of all newest records.
    bool newest{false};
    /// Offsets between which the changes lie, without the end. A snapshot is as of `end`, and its `from` is 0.
    std::uint64_t from{0};
    std::uint64_t end{0};
    std::vector<relayed_record> records;
    /// Era of all offsets (`store_era`); 0 if not stated, or by a VM of an earlier version.
    std::uint64_t era{0};

    MSGPACK_DEFINE_ARRAY(topic, newest, from, end, records, era)
};

/// One part of a snapshot that is too large for a single frame. Each part has the topic, era and end of the snapshot.
/// Sent compressed as `records_part`.
struct snapshot_part {
    std::uint32_t index{0};
    std::uint32_t count{0};
    topic_update update;

    MSGPACK_DEFINE_ARRAY(index, count, update)
};

/// State of the sender, sent in answer to a pull request and after contact with the store. It is a separate message
/// from the records: otherwise VMs of different versions could regard each other as up to date while they can't decode
/// each other's records.
struct relay_status {
    /// The sender has all topics without gaps, and the store recently answered it or a VM whose records reach it.
    bool has_store_contact{false};
    /// Milliseconds since the store last answered the sender or a VM whose records reach it.
    std::uint64_t store_age_ms{0};
    /// The sender is a reader and has had no contact with the store for a long time: use another upstream.
    bool lost_store{false};

    MSGPACK_DEFINE_ARRAY(has_store_contact, store_age_ms, lost_store)
};

} // namespace agatespar
