// The prompt prefixes that an engine's stand-in holds: the newest sessions, up to a fixed number.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace agatespar::standin {

class prefix_cache {
public:
    /// @return the tokens of the session's conversation that are held.
    std::uint64_t find(const std::string& session) const
    {
        const auto held = tokens_.find(session);
        return held == tokens_.end() ? 0 : held->second;
    }

    /// Holds a session's conversation, in place of the oldest session if there is no room. No name, no session.
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
