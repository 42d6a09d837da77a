// Cuts a server's event stream into whole events, so that a broken one is never handed on.
#pragma once

#include <string>
#include <string_view>

namespace agatespar {

/// Collects bytes of a text/event-stream and gives back those that form whole events (WHATWG HTML, 9.2.6).
class event_splitter {
public:
    /// @param bytes as they come. @return the bytes of all events that are whole now; valid until the next call.
    std::string_view take(std::string_view bytes);
    /// @return the id of the last whole event, or an empty text before the first one that has an id.
    const std::string& last_id() const { return last_id_; }
    /// @return whether bytes of an event that is not whole yet are waiting.
    bool has_partial() const { return !partial_.empty(); }
    std::size_t partial_size() const { return partial_.size(); }
    /// Drops an event that will never be whole, as its stream broke.
    void drop_partial() { partial_.clear(); }

private:
    void note_ids(std::string_view events);

    std::string partial_;
    std::string whole_;
    std::string last_id_;
};

} // namespace agatespar
