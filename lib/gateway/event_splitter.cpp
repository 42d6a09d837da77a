// Finds the blank lines that end events.
#include <agatespar/gateway/event_splitter.h>

namespace agatespar {

std::string_view event_splitter::append_bytes(std::string_view bytes)
{
    const std::size_t scanned = partial_.size();
    partial_.append(bytes);
    std::size_t complete = 0;
    for (std::size_t end = partial_.find('\n', scanned); end != std::string::npos; end = partial_.find('\n', end + 1)) {
        const std::string_view line = std::string_view{partial_}.substr(line_start_, end - line_start_);
        line_start_ = end + 1;
        if (!line.empty() && line != "\r") {
            has_content_ = true;
            continue;
        }
        complete = line_start_;
        // Only the first of several blank lines ends an event.
        completed_ += has_content_ ? 1 : 0;
        has_content_ = false;
    }
    complete_.assign(partial_, 0, complete);
    partial_.erase(0, complete);
    line_start_ -= complete;
    update_last_id(complete_);
    return complete_;
}

void event_splitter::drop_partial()
{
    partial_.clear();
    line_start_ = 0;
    has_content_ = false;
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
