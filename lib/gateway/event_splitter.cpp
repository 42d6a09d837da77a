// Finds the blank lines that end events.
#include <agatespar/gateway/event_splitter.h>

namespace agatespar {

namespace {

/// The complete events at the start of a piece of a stream.
struct complete_events {
    /// Number of bytes that form complete events.
    std::size_t size{0};
    std::size_t count{0};
};

} // namespace

static complete_events find_complete_events(std::string_view bytes)
{
    complete_events found;
    std::size_t line = 0;
    bool has_content = false;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        if (bytes[i] != '\n') {
            continue;
        }
        const std::string_view content = bytes.substr(line, i - line);
        if (content.empty() || content == "\r") {
            found.size = i + 1;
            // Only the first of several blank lines ends an event.
            found.count += has_content ? 1 : 0;
            has_content = false;
        }
        else {
            has_content = true;
        }
        line = i + 1;
    }
    return found;
}

std::string_view event_splitter::append_bytes(std::string_view bytes)
{
    partial_.append(bytes);
    const complete_events found = find_complete_events(partial_);
    completed_ += found.count;
    complete_.assign(partial_, 0, found.size);
    partial_.erase(0, found.size);
    update_last_id(complete_);
    return complete_;
}

void event_splitter::update_last_id(std::string_view events)
{
    while (!events.empty()) {
        const std::size_t end = events.find('\n');
        std::string_view line = events.substr(0, end);
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        last_id_.assign(line);
    }
}

} // namespace agatespar
