// Bounded storage of the explanations of recent requests.
#include <agatespar/request/explain_store.h>

namespace agatespar {

void explain_store::add(const request_id& id, std::string sentence)
{
    const auto [entry, inserted] = sentences_.try_emplace(id);
    if (inserted) {
        order_.push_back(id);
    }
    if (entry->second.size() < max_sentences) {
        entry->second.push_back(std::move(sentence));
    }
    if (order_.size() > capacity_) {
        sentences_.erase(order_.front());
        order_.pop_front();
    }
}

std::optional<std::vector<std::string>> explain_store::find(const request_id& id) const
{
    const auto found = sentences_.find(id);
    if (found == sentences_.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace agatespar
