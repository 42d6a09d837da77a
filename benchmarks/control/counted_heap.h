// Counts the heap that each node's control state holds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace agatespar {

/// Books the allocations of a scope on one node.
class heap_scope {
public:
    explicit heap_scope(std::uint32_t node);
    heap_scope(const heap_scope&) = delete;
    heap_scope& operator=(const heap_scope&) = delete;
    ~heap_scope();

private:
    std::uint32_t outer_;
};

/// @return the bytes that are allocated now, by node.
const std::vector<std::int64_t>& heap_bytes();
/// Makes room for the counts of so many nodes.
void count_heap_of(std::size_t nodes);

} // namespace agatespar
