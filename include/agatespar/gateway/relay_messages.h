// Messages by which VMs pass the store's records on to each other.
#pragma once

#include <agatespar/wire/codec.h>

#include <cstdint>
#include <string>
#include <vector>

namespace agatespar {

/// How far a VM has read one topic.
struct topic_position {
    std::uint8_t topic{0};
    /// Nothing before `end` is missing; else all newest records are needed.
    bool whole{false};
    std::uint64_t end{0};

    MSGPACK_DEFINE_ARRAY(topic, whole, end)
};

/// A record of one of the system's own topics that is to be written, with those of other VMs in one call.
struct row_to_write {
    std::uint8_t topic{0};
    std::string key;
    std::string value;

    MSGPACK_DEFINE_ARRAY(topic, key, value)
};

/// Asks another VM for what it has read beyond these positions, now and for a while.
struct records_pull {
    std::vector<topic_position> positions;
    /// Answers did not arrive lately, so the connection that they take may be dead.
    bool unheard{false};
    /// News are to be sent as they come; else only the question is answered.
    bool follows{false};
    /// Tells the starts of a VM apart: what was on its way to an earlier one is lost.
    std::uint64_t start{0};
    /// Rows that the store lacks, of the asker and of those who ask it. Repeated until they are seen.
    std::vector<row_to_write> rows;

    MSGPACK_DEFINE_ARRAY(positions, unheard, follows, start, rows)
};

/// One record of a keyed topic.
struct passed_record {
    std::string key;
    /// The key has no record any more.
    bool dropped{false};
    std::string value;
    std::uint64_t offset{0};

    MSGPACK_DEFINE_ARRAY(key, dropped, value, offset)
};

/// What a VM knows of one topic and the asker does not: changes from an offset on, or all newest records. Travels as
/// `records_topic`, or compressed as `records_packed`.
struct topic_news {
    std::uint8_t topic{0};
    bool newest{false};
    std::uint64_t from{0};
    std::uint64_t end{0};
    std::vector<passed_record> records;

    MSGPACK_DEFINE_ARRAY(topic, newest, from, end, records)
};

/// What a VM says of itself when it is asked, and when it has heard of the store. Not the message that carried records
/// too: VMs of another version must not take each other for fresh while they can't read each other's records.
struct relay_status {
    /// The sender knows all topics whole, and the store answered it, or a VM that it asks, lately.
    bool hears_store{false};
    /// Milliseconds since the store last answered the sender, or whoever the sender has its news from.
    std::uint64_t store_age_ms{0};
    /// The sender reads the store itself, and has heard nothing of it for long: another VM should be asked.
    bool lost_store{false};

    MSGPACK_DEFINE_ARRAY(hears_store, store_age_ms, lost_store)
};

} // namespace agatespar
