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

/// Asks another VM for what it has read beyond these positions, now and for a while.
struct records_pull {
    std::vector<topic_position> positions;
    /// Answers did not arrive lately, so the connection that they take may be dead.
    bool unheard{false};
    /// News are to be sent as they come; else only the question is answered.
    bool follows{false};

    MSGPACK_DEFINE_ARRAY(positions, unheard, follows)
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

/// What a VM knows of one topic and the asker does not: changes from an offset on, or all newest records.
struct topic_news {
    std::uint8_t topic{0};
    bool newest{false};
    std::uint64_t from{0};
    std::uint64_t end{0};
    std::vector<passed_record> records;

    MSGPACK_DEFINE_ARRAY(topic, newest, from, end, records)
};

/// Answers a pull, or follows it when there is more.
struct records_news {
    /// The sender reads the store itself, has heard of it lately, and knows all topics whole.
    bool hears_store{false};
    /// Milliseconds since the store last answered the sender.
    std::uint64_t store_age_ms{0};
    std::vector<topic_news> topics;

    MSGPACK_DEFINE_ARRAY(hears_store, store_age_ms, topics)
};

} // namespace agatespar
