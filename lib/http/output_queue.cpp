// Queue of segments that wait to be sent.
#include <agatespar/http/output_queue.h>

#include <algorithm>
#include <cassert>

namespace agatespar {

void output_queue::count_in(std::shared_ptr<memory_budget> budget, memory_holder holder)
{
    held_ = memory_reservation{std::move(budget), holder};
    held_.resize(own_capacity_);
}

void output_queue::append(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    size_ += bytes.size();
    if (segments_.empty() || segments_.back().shared || segments_.back().own.size() + bytes.size() > max_joined_bytes) {
        segments_.push_back({});
    }
    std::string& last = segments_.back().own;
    const std::size_t counted = last.empty() ? 0 : last.capacity();
    last.append(bytes);
    own_capacity_ += last.capacity() - counted;
    held_.resize(own_capacity_);
}

void output_queue::append(std::shared_ptr<const std::string> bytes, std::size_t sent)
{
    assert(sent <= bytes->size());
    if (sent < bytes->size()) {
        size_ += bytes->size() - sent;
        segments_.push_back({{}, std::move(bytes), sent});
    }
}

output_parts output_queue::front() const
{
    output_parts parts{};
    const std::size_t count = std::min(parts.size(), segments_.size());
    for (std::size_t index = 0; index < count; ++index) {
        parts[index] = segments_[index].rest();
    }
    return parts;
}

void output_queue::consume(std::size_t count)
{
    assert(count <= size_);
    size_ -= count;
    std::size_t done = 0;
    while (done < segments_.size() && segments_[done].rest().size() <= count) {
        count -= segments_[done].rest().size();
        own_capacity_ -= segments_[done].shared ? 0 : segments_[done].own.capacity();
        ++done;
    }
    segments_.erase(segments_.begin(), segments_.begin() + static_cast<std::ptrdiff_t>(done));
    if (count > 0) {
        segments_.front().sent += count;
    }
    if (segments_.empty()) {
        segments_ = {};
    }
    held_.resize(own_capacity_);
}

void output_queue::clear()
{
    segments_ = {};
    size_ = 0;
    own_capacity_ = 0;
    held_.resize(0);
}

} // namespace agatespar
