// Interface to the platform's log service: append-only streams with offsets and limited retention.
#pragma once

#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace agatespar {

struct append_request {
    stream_name stream;
    /// Appended together, in this order, at consecutive offsets.
    std::vector<std::string> payloads;
};

struct append_receipt {
    /// The offset of the first payload.
    log_offset first;
};

struct read_request {
    stream_name stream;
    log_offset from;
    std::size_t limit{256};
    /// How long the service may delay the answer while there is nothing to read.
    std::chrono::milliseconds wait{0};
};

struct log_record {
    log_offset offset;
    std::string payload;
};

struct read_batch {
    /// The oldest offset that is retained; records before it have been trimmed.
    log_offset first_retained;
    /// The offset that the next append will get.
    log_offset next;
    /// Consecutive records, starting at max(from, first_retained).
    std::vector<log_record> records;
};

using append_callback = std::function<void(outcome<append_receipt>)>;
using read_callback = std::function<void(outcome<read_batch>)>;

/// The operations of the log service. Callbacks run on the loop's thread, never from within the call.
///
/// A failed append may have taken effect, or may take effect later; only a read can determine this.
struct log_service {
    std::function<void(append_request, append_callback)> append;
    std::function<void(read_request, read_callback)> read;
};

} // namespace agatespar
