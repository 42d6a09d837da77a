// Splits a server's event stream at event boundaries, so that an incomplete event is never forwarded.
#pragma once

#include <string>
#include <string_view>

namespace agatespar {

/// Buffers bytes of a text/event-stream and returns those that form complete events (WHATWG HTML, 9.2.6).
class event_splitter {
public:
    /// Takes time in proportion to the bytes, however many of an incomplete event are buffered.
    /// @param bytes the next bytes of the stream, in pieces of any size.
    /// @return the bytes of all events that have become complete; valid until the next call.
    std::string_view append_bytes(std::string_view bytes);
    /// @return the id of the last complete event that has one, or an empty string if there was none yet.
    const std::string& last_id() const { return last_id_; }
    /// @return the number of complete events so far.
    std::size_t completed() const { return completed_; }
    /// @return whether bytes of an incomplete event are buffered.
    bool has_partial() const { return !partial_.empty(); }
    /// @return the number of buffered bytes of an incomplete event.
    std::size_t partial_size() const { return partial_.size(); }
    /// Discards the incomplete event after its stream has failed.
    void drop_partial();

private:
    void update_last_id(std::string_view events);

    std::string partial_;
    /// Start of the last line of `partial_`, which has no end yet.
    std::size_t line_start_{0};
    /// A line of the incomplete event is not blank.
    bool has_content_{false};
    std::string complete_;
    std::string last_id_;
    std::size_t completed_{0};
};

} // namespace agatespar
