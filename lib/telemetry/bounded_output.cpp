// Non-blocking writes to a descriptor that may be in blocking mode.
#include <agatespar/telemetry/bounded_output.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace agatespar {

std::streambuf::int_type bounded_output::overflow(int_type character)
{
    if (!traits_type::eq_int_type(character, traits_type::eof())) {
        line_.push_back(traits_type::to_char_type(character));
    }
    return traits_type::not_eof(character);
}

std::streamsize bounded_output::xsputn(const char* text, std::streamsize size)
{
    line_.append(text, static_cast<std::size_t>(size));
    return size;
}

int bounded_output::sync()
{
    if (line_.empty()) {
        return 0;
    }
    write_queued();
    if (queue_.size() + line_.size() > max_queue_bytes_) {
        ++counters_.lines_dropped;
    }
    else {
        queue_.append(line_);
        ++counters_.lines_written;
        write_queued();
    }
    line_.clear();
    return 0;
}

void bounded_output::write_queued()
{
    while (!queue_.empty()) {
        // A pipe that is ready accepts PIPE_BUF bytes without blocking (POSIX, write()).
        pollfd ready{descriptor_, POLLOUT, 0};
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            return;
        }
        const std::size_t size = std::min<std::size_t>(queue_.size(), PIPE_BUF);
        const ssize_t written = write(descriptor_, queue_.data(), size);
        if (written <= 0) {
            return;
        }
        queue_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace agatespar
