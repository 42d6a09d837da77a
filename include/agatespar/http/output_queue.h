// Bytes that wait to be sent over a connection, as segments that are not moved when the front is sent.
#pragma once

#include <agatespar/support/memory_budget.h>

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace agatespar {

/// Bytes up to this size are copied to others that are sent with them, which is faster than a buffer of their own.
inline constexpr std::size_t max_joined_bytes = std::size_t{16} * 1024;
/// Buffers that one system call sends in order; unused ones are empty.
using output_parts = std::array<std::string_view, 8>;

/// Queue of segments. A segment either owns its bytes, which are counted here, or shares a string that its first owner
/// has counted.
class output_queue {
public:
    /// Counts the owned bytes in a budget. @param budget may be null.
    void count_in(std::shared_ptr<memory_budget> budget, memory_holder holder);
    /// Appends a copy of the bytes.
    void append(std::string_view bytes);
    /// Appends a string without copying it. @param sent the number of bytes at its front to leave out.
    void append(std::shared_ptr<const std::string> bytes, std::size_t sent);
    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    /// @return the buffers at the front.
    output_parts front() const;
    /// Removes bytes from the front. @param count at most size().
    void consume(std::size_t count);
    void clear();

private:
    struct segment {
        std::string own;
        std::shared_ptr<const std::string> shared;
        std::size_t sent{0};

        std::string_view rest() const { return std::string_view{shared ? *shared : own}.substr(sent); }
    };

    std::vector<segment> segments_;
    std::size_t size_{0};
    /// Sum of the capacities of the owned strings.
    std::size_t own_capacity_{0};
    memory_reservation held_;
};

} // namespace agatespar
