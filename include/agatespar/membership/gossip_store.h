// Versioned items that are replicated to every VM of a zone by gossip, as deltas piggybacked on the probes.
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

/// @return whether items of a kind are long-lived: they are part of the digest, lost ones are recovered by an exchange
/// of the full state, and new ones are forwarded as urgent. Items of the other kinds change so often that digests would
/// always differ; their next version replaces a lost one.
bool is_long_lived(gossip_kind kind);

/// Limits on the memory that peers can make this VM use for items.
struct gossip_limits {
    std::size_t max_item_bytes{512};
    std::size_t max_items{1024};
};

/// Stores the largest version of each item and sends each new version a limited number of times.
class gossip_store {
public:
    explicit gossip_store(gossip_limits limits = {}) : limits_(limits) {}

    /// Stores an item. @param members the number of live members, which determines how often the item is sent.
    /// @return true if the item is newer than the stored one and within the limits.
    bool merge(const gossip_item& item, std::size_t members);
    /// @return items that are still to be sent, of at most this many bytes in total.
    std::vector<gossip_item> take_outgoing(std::size_t max_bytes);
    /// Removes the expired items.
    void expire(std::uint32_t unix_seconds);

    const gossip_item* find(gossip_kind kind, const std::string& name) const;
    /// @return all items of one kind in the order of their names.
    std::vector<const gossip_item*> of_kind(gossip_kind kind) const;
    std::vector<gossip_item> long_lived() const;
    std::size_t size() const { return entries_.size(); }
    std::uint64_t refused() const { return refused_; }
    /// @return an order-independent hash of the versions of the long-lived items.
    std::uint64_t digest() const { return digest_; }

private:
    void take_from_queue(std::size_t queue, std::size_t max_bytes, std::size_t& used, std::vector<gossip_item>& taken);

    struct entry {
        gossip_item item;
        std::uint32_t sends_left{0};
    };
    using key = std::pair<gossip_kind, std::string>;

    gossip_limits limits_;
    std::map<key, entry> entries_;
    /// Queues of the items still to be sent: long-lived items, which are sent first, and the others.
    std::array<std::vector<key>, 2> outgoing_;
    std::uint64_t refused_{0};
    std::uint64_t digest_{0};
};

} // namespace agatespar
