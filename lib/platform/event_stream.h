// Splits a stream of server-sent events into the data of each event.
#pragma once

#include <agatespar/support/outcome.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace agatespar {

/// Implements https://html.spec.whatwg.org/multipage/server-sent-events.html#parsing-an-event-stream for the field
/// "data"; other fields and comments are skipped.
class event_stream {
public:
    /// @param max_event_bytes maximum size of a line and of the data of one event.
    explicit event_stream(std::size_t max_event_bytes) : max_event_bytes_(max_event_bytes) {}

    /// @param bytes the next chunk of the stream. @param on_data is called for each event that the chunk completes;
    /// it returns false to stop. @return too_large if an event exceeds the limit.
    outcome<void> feed(std::string_view bytes, const std::function<bool(std::string_view)>& on_data);

private:
    bool handle_line(const std::function<bool(std::string_view)>& on_data);

    std::size_t max_event_bytes_;
    std::string line_;
    std::string data_;
};

} // namespace agatespar
