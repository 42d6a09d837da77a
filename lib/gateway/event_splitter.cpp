// Finds the blank lines that end events.
#include <agatespar/gateway/event_splitter.h>

namespace agatespar {

/// @return the number of leading bytes that form complete events.
static std::size_t complete_events_size(std::string_view bytes)
{
    std::size_t complete_end = 0;
    std::size_t line = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        if (bytes[i] != '\n') {
            continue;
        }
        const std::string_view content = bytes.substr(line, i - line);
        if (content.empty() || content == "\r") {
            complete_end = i + 1;
        }
        line = i + 1;
    }
    return complete_end;
}

std::string_view event_splitter::append_bytes(std::string_view bytes)
{
    partial_.append(bytes);
    const std::size_t size = complete_events_size(partial_);
    complete_.assign(partial_, 0, size);
    partial_.erase(0, size);
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
