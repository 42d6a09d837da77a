// Rendezvous hashing over boot ids: the member with the largest hash of key and boot id owns the key.
#include <agatespar/membership/rendezvous.h>
#include <agatespar/support/hash.h>

#include <algorithm>
#include <utility>

namespace agatespar {

std::uint64_t ownership_key(std::string_view key)
{
    return stable_hash(key);
}

std::optional<boot_id> owner_of(std::uint64_t key, std::span<const boot_id> members)
{
    std::optional<boot_id> best;
    std::uint64_t best_weight = 0;
    for (const boot_id member : members) {
        const std::uint64_t weight = combine_hashes(key, member.value());
        if (!best || weight > best_weight || (weight == best_weight && member < *best)) {
            best = member;
            best_weight = weight;
        }
    }
    return best;
}

std::vector<boot_id> owners_of(std::uint64_t key, std::span<const boot_id> members, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, boot_id>> weighted;
    weighted.reserve(members.size());
    for (const boot_id member : members) {
        weighted.emplace_back(combine_hashes(key, member.value()), member);
    }
    const auto heavier = [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second < right.second;
    };
    const std::size_t kept = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept), weighted.end(), heavier);
    std::vector<boot_id> owners;
    owners.reserve(kept);
    for (std::size_t index = 0; index < kept; ++index) {
        owners.push_back(weighted[index].second);
    }
    return owners;
}

} // namespace agatespar
