// Output stream for log lines that never blocks its writer, even if nothing reads the other end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <streambuf>
#include <string>

namespace agatespar {

/// Numbers of lines since the start.
struct output_counters {
    std::uint64_t lines_written{0};
    std::uint64_t lines_dropped{0};
};

/// Queues complete lines and writes as much as the descriptor accepts without blocking. If the queue is full, the whole
/// line is dropped and counted. A flush ends a line.
class bounded_output final : public std::streambuf {
public:
    /// @param descriptor a pipe, a file or a terminal; not owned. @param max_queue_bytes maximum size of the queue.
    bounded_output(int descriptor, std::size_t max_queue_bytes)
        : descriptor_(descriptor), max_queue_bytes_(max_queue_bytes)
    {
    }

    /// Writes as much of the queue as the descriptor accepts without blocking. To be called periodically, as the stream
    /// does not watch the descriptor.
    void write_queued();
    const output_counters& counters() const { return counters_; }
    std::size_t queued() const { return queue_.size(); }

protected:
    int_type overflow(int_type character) override;
    std::streamsize xsputn(const char* text, std::streamsize size) override;
    int sync() override;

private:
    int descriptor_;
    std::size_t max_queue_bytes_;
    std::string line_;
    std::string queue_;
    output_counters counters_;
};

} // namespace agatespar
