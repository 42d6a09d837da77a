// Prefix cache of the engine's stand-in, with a fixed maximum number of sessions.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace agatespar::standin {

class prefix_cache {
public:
    /// @return the number of cached tokens of the session's conversation.
    std::uint64_t find(const std::string& session) const
    {
        const auto entry = tokens_.find(session);
        return entry == tokens_.end() ? 0 : entry->second;
    }

    /// Caches a session's conversation; the session that was added first is evicted if the cache is full. An empty name
    /// means that the request has no session, and nothing is cached.
    void put(const std::string& session, std::uint64_t tokens)
    {
        if (session.empty()) {
            return;
        }
        if (!tokens_.contains(session)) {
            order_.push_back(session);
        }
        tokens_[session] = tokens;
        if (order_.size() > max_sessions) {
            tokens_.erase(order_.front());
            order_.pop_front();
        }
    }

    void clear()
    {
        tokens_.clear();
        order_.clear();
    }

    const std::deque<std::string>& sessions() const { return order_; }

private:
    static constexpr std::size_t max_sessions = 64;

    std::deque<std::string> order_;
    std::map<std::string, std::uint64_t> tokens_;
};

} // namespace agatespar::standin
