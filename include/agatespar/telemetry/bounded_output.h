// A stream for log lines that never blocks its writer, whoever reads the other end or does not.
#pragma once

#include <cstddef>
#include <cstdint>
#include <streambuf>
#include <string>

namespace agatespar {

/// What has been written and lost.
struct output_counters {
    std::uint64_t lines_written{0};
    std::uint64_t lines_dropped{0};
};

/// Queues whole lines for a descriptor and writes what it takes at once. A line that finds the queue full is dropped
/// whole and counted. A flush ends a line.
class bounded_output final : public std::streambuf {
public:
    /// @param descriptor is not owned; a pipe, a file or a terminal. @param queue_bytes held at most.
    bounded_output(int descriptor, std::size_t queue_bytes) : descriptor_(descriptor), queue_bytes_(queue_bytes) {}

    /// Writes what the descriptor takes now. To be called now and then, as nothing else tells when there is room.
    void write_queued();
    const output_counters& counters() const { return counters_; }
    std::size_t queued() const { return queue_.size(); }

protected:
    int_type overflow(int_type character) override;
    std::streamsize xsputn(const char* text, std::streamsize size) override;
    int sync() override;

private:
    int descriptor_;
    std::size_t queue_bytes_;
    std::string line_;
    std::string queue_;
    output_counters counters_;
};

} // namespace agatespar
