// Small registers that every VM of a zone holds, spread as deltas on the probes.
#pragma once

#include <agatespar/membership/messages.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace agatespar {

/// @return whether items of a kind are repaired by exchanges and hurried on. The others change all the time: they would
/// make digests always differ, and their next version mends a loss.
bool is_lasting(gossip_kind kind);

/// Bounds on what a peer can make this VM hold.
struct gossip_limits {
    std::size_t max_item_bytes{512};
    std::size_t max_items{1024};
};

/// Keeps the largest version of each item and sends each new one a few times.
class gossip_store {
public:
    explicit gossip_store(gossip_limits limits = {}) : limits_(limits) {}

    /// @return true if the item is newer than the one held and within the limits.
    bool merge(const gossip_item& item, std::size_t members);
    /// @return items that still have to go out, of at most this many bytes together.
    std::vector<gossip_item> take(std::size_t max_bytes);
    /// Drops the items whose time is over.
    void expire(std::uint32_t unix_seconds);

    const gossip_item* find(gossip_kind kind, const std::string& name) const;
    /// @return all items of one kind in the order of their names.
    std::vector<const gossip_item*> of_kind(gossip_kind kind) const;
    std::vector<gossip_item> lasting() const;
    std::size_t size() const { return entries_.size(); }
    std::uint64_t refused() const { return refused_; }
    /// @return an order-independent hash of the lasting items' versions.
    std::uint64_t digest() const { return digest_; }

private:
    void take_from(std::size_t queue, std::size_t max_bytes, std::size_t& used, std::vector<gossip_item>& taken);

    struct entry {
        gossip_item item;
        std::uint32_t sends_left{0};
    };
    using key = std::pair<gossip_kind, std::string>;

    gossip_limits limits_;
    std::map<key, entry> entries_;
    /// What still has to go out: lasting items, which go first, and the others.
    std::array<std::vector<key>, 2> outgoing_;
    std::uint64_t refused_{0};
    std::uint64_t digest_{0};
};

} // namespace agatespar
