// Splits a stream of server-sent events into the data of each event.
#include "event_stream.h"

#include <algorithm>

namespace agatespar {

static constexpr std::string_view data_field = "data:";

// Handles one complete line. Returns false if `on_data` did.
bool event_stream::handle_line(const std::function<bool(std::string_view)>& on_data)
{
    if (!line_.empty() && line_.back() == '\r') {
        line_.pop_back();
    }
    if (line_.empty()) {
        const std::string data = std::exchange(data_, {});
        return data.empty() || on_data(data);
    }
    if (line_.starts_with(data_field)) {
        std::string_view value = std::string_view{line_}.substr(data_field.size());
        if (value.starts_with(' ')) {
            value.remove_prefix(1);
        }
        if (!data_.empty()) {
            data_ += '\n';
        }
        data_ += value;
    }
    line_.clear();
    return true;
}

outcome<void> event_stream::feed(std::string_view bytes, const std::function<bool(std::string_view)>& on_data)
{
    while (!bytes.empty()) {
        const std::size_t end = std::min(bytes.find('\n'), bytes.size());
        if (line_.size() + data_.size() + end > max_event_bytes_) {
            return tl::make_unexpected(error{error_code::too_large, "an event of the stream exceeds the size limit",
                                             run_state::outcome_unknown, std::nullopt});
        }
        line_ += bytes.substr(0, end);
        if (end == bytes.size()) {
            return {};
        }
        bytes.remove_prefix(end + 1);
        if (!handle_line(on_data)) {
            return {};
        }
    }
    return {};
}

} // namespace agatespar
