// Remembers, for a bounded number of recent requests, why each went where it went.
#pragma once

#include <agatespar/support/ids.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatespar {

/// Keeps the latest requests' sentences; the oldest requests give way.
class explain_store {
public:
    explicit explain_store(std::size_t capacity = 1024) : capacity_(capacity) {}

    /// Adds a sentence to a request's story.
    void add(const request_id& id, std::string sentence);
    /// @return the request's sentences in order, or nothing if it is not known here.
    std::optional<std::vector<std::string>> find(const request_id& id) const;

private:
    static constexpr std::size_t max_sentences = 32;

    std::size_t capacity_;
    std::deque<request_id> order_;
    std::unordered_map<request_id, std::vector<std::string>> sentences_;
};

} // namespace agatespar
