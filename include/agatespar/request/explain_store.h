// Stores the explanations of routing decisions and failures for a bounded number of recent requests.
#pragma once

#include <agatespar/support/ids.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatespar {

/// Stores the sentences that explain each recent request. Above the capacity, the oldest request is evicted.
class explain_store {
public:
    explicit explain_store(std::size_t capacity = 1024) : capacity_(capacity) {}

    /// Appends a sentence to a request's explanation. Sentences beyond `max_sentences` are discarded.
    void add(const request_id& id, std::string sentence);
    /// @return the request's sentences in order, or nothing if the request is not stored on this VM.
    std::optional<std::vector<std::string>> find(const request_id& id) const;

private:
    static constexpr std::size_t max_sentences = 32;

    std::size_t capacity_;
    std::deque<request_id> order_;
    std::unordered_map<request_id, std::vector<std::string>> sentences_;
};

} // namespace agatespar
