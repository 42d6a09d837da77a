// Replaces operator new and delete to count the allocated bytes by node; a header before each block holds its size and
// node.
#include "counted_heap.h"

#include <cstdlib>
#include <new>

namespace agatespar {

namespace {

constexpr std::uint32_t no_node = UINT32_MAX;
// Preserves the alignment that operator new guarantees.
constexpr std::size_t header_bytes = 16;

struct block_header {
    std::uint64_t size;
    std::uint32_t node;
};

} // namespace

static std::uint32_t current_node = no_node;
static std::vector<std::int64_t> bytes_by_node;

static void add_bytes(std::uint32_t node, std::int64_t bytes)
{
    if (node < bytes_by_node.size()) {
        bytes_by_node[node] += bytes;
    }
}

static void* allocate(std::size_t size)
{
    void* raw = std::malloc(size + header_bytes);
    if (raw == nullptr) {
        throw std::bad_alloc{};
    }
    new (raw) block_header{size, current_node};
    add_bytes(current_node, static_cast<std::int64_t>(size));
    return static_cast<char*>(raw) + header_bytes;
}

static void release(void* block) noexcept
{
    if (block == nullptr) {
        return;
    }
    void* raw = static_cast<char*>(block) - header_bytes;
    const auto* header = static_cast<const block_header*>(raw);
    add_bytes(header->node, -static_cast<std::int64_t>(header->size));
    std::free(raw);
}

heap_scope::heap_scope(std::uint32_t node) : outer_(current_node)
{
    current_node = node;
}

heap_scope::~heap_scope()
{
    current_node = outer_;
}

const std::vector<std::int64_t>& heap_bytes()
{
    return bytes_by_node;
}

void count_heap_of(std::size_t nodes)
{
    bytes_by_node.assign(nodes, 0);
}

} // namespace agatespar

void* operator new(std::size_t size)
{
    return agatespar::allocate(size);
}

void operator delete(void* block) noexcept
{
    agatespar::release(block);
}

void operator delete(void* block, std::size_t) noexcept
{
    agatespar::release(block);
}
