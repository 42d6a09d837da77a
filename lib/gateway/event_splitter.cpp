// Finds the blank lines that end events.
#include <agatespar/gateway/event_splitter.h>

namespace agatespar {

/// @return the size of the leading bytes that form whole events.
static std::size_t whole_size(std::string_view bytes)
{
    std::size_t whole = 0;
    std::size_t line = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        if (bytes[i] != '\n') {
            continue;
        }
        const std::string_view content = bytes.substr(line, i - line);
        if (content.empty() || content == "\r") {
            whole = i + 1;
        }
        line = i + 1;
    }
    return whole;
}

std::string_view event_splitter::take(std::string_view bytes)
{
    partial_.append(bytes);
    const std::size_t size = whole_size(partial_);
    whole_.assign(partial_, 0, size);
    partial_.erase(0, size);
    note_ids(whole_);
    return whole_;
}

void event_splitter::note_ids(std::string_view events)
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
