// Counts the heap bytes used by the control state of each node.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace agatespar {

/// Attributes the allocations within a scope to one node.
class heap_scope {
public:
    explicit heap_scope(std::uint32_t node);
    heap_scope(const heap_scope&) = delete;
    heap_scope& operator=(const heap_scope&) = delete;
    ~heap_scope();

private:
    std::uint32_t outer_;
};

/// @return the currently allocated bytes, by node.
const std::vector<std::int64_t>& heap_bytes();
/// Resets the counts, and counts for this number of nodes from now on.
void count_heap_of(std::size_t nodes);

} // namespace agatespar
