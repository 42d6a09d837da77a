// Merges gossip items and selects those to send.
#include <agatespar/membership/gossip_store.h>
#include <agatespar/support/hash.h>

#include <algorithm>
#include <bit>

namespace agatespar {

namespace {

// Upper bound of the encoded size of an item without its name and bytes.
constexpr std::size_t item_overhead_bytes = 24;

} // namespace

bool is_long_lived(gossip_kind kind)
{
    return kind != gossip_kind::server_table && kind != gossip_kind::version_counts &&
           kind != gossip_kind::zone_summary && kind != gossip_kind::config_contact;
}

static std::uint64_t item_digest(const gossip_item& item)
{
    return is_long_lived(item.kind)
               ? combine_hashes(stable_hash(item.name, static_cast<std::uint64_t>(item.kind)), item.version)
               : 0;
}

static std::uint32_t sends_for(const gossip_item& item, std::size_t members)
{
    const auto log_members = static_cast<std::uint32_t>(std::bit_width(members));
    if (is_long_lived(item.kind)) {
        return 2 * log_members;
    }
    // A server table that does not reach a VM is soon replaced by the next version; a zone's summary is replaced less
    // often, so it is sent more times.
    return item.kind == gossip_kind::zone_summary ? log_members : std::max(2U, log_members / 2);
}

bool gossip_store::merge(const gossip_item& item, std::size_t members)
{
    const key item_key{item.kind, item.name};
    const auto found = entries_.find(item_key);
    if (found != entries_.end() && found->second.item.version >= item.version) {
        return false;
    }
    if (item.bytes.size() + item.name.size() > limits_.max_item_bytes ||
        (found == entries_.end() && entries_.size() >= limits_.max_items)) {
        ++refused_;
        return false;
    }
    entry& stored = entries_[item_key];
    if (found != entries_.end()) {
        digest_ ^= item_digest(stored.item);
    }
    if (stored.sends_left == 0) {
        outgoing_[is_long_lived(item.kind) ? 0 : 1].push_back(item_key);
    }
    stored.item = item;
    stored.sends_left = sends_for(item, members);
    digest_ ^= item_digest(item);
    return true;
}

std::vector<gossip_item> gossip_store::take_outgoing(std::size_t max_bytes)
{
    std::vector<gossip_item> taken;
    std::size_t used = 0;
    for (std::size_t queue = 0; queue < outgoing_.size(); ++queue) {
        take_from_queue(queue, max_bytes, used, taken);
    }
    return taken;
}

void gossip_store::take_from_queue(std::size_t queue, std::size_t max_bytes, std::size_t& used,
                                   std::vector<gossip_item>& taken)
{
    std::vector<key>& waiting = outgoing_[queue];
    std::vector<key> requeued;
    auto next = waiting.begin();
    for (; next != waiting.end(); ++next) {
        const auto found = entries_.find(*next);
        if (found == entries_.end()) {
            continue;
        }
        entry& stored = found->second;
        const std::size_t size = item_overhead_bytes + stored.item.name.size() + stored.item.bytes.size();
        if (used + size > max_bytes) {
            break;
        }
        used += size;
        taken.push_back(stored.item);
        if (--stored.sends_left > 0) {
            requeued.push_back(*next);
        }
    }
    // Items that were just sent are queued behind those that were not.
    waiting.erase(waiting.begin(), next);
    waiting.insert(waiting.end(), requeued.begin(), requeued.end());
}

void gossip_store::expire(std::uint32_t unix_seconds)
{
    for (auto next = entries_.begin(); next != entries_.end();) {
        const gossip_item& item = next->second.item;
        if (item.expires != 0 && item.expires < unix_seconds) {
            digest_ ^= item_digest(item);
            std::erase(outgoing_[is_long_lived(item.kind) ? 0 : 1], next->first);
            next = entries_.erase(next);
        }
        else {
            ++next;
        }
    }
}

const gossip_item* gossip_store::find(gossip_kind kind, const std::string& name) const
{
    const auto found = entries_.find(key{kind, name});
    return found == entries_.end() ? nullptr : &found->second.item;
}

std::vector<const gossip_item*> gossip_store::of_kind(gossip_kind kind) const
{
    std::vector<const gossip_item*> items;
    for (auto next = entries_.lower_bound(key{kind, {}}); next != entries_.end() && next->first.first == kind; ++next) {
        items.push_back(&next->second.item);
    }
    return items;
}

std::vector<gossip_item> gossip_store::long_lived() const
{
    std::vector<gossip_item> items;
    for (const auto& [item_key, stored] : entries_) {
        if (is_long_lived(stored.item.kind)) {
            items.push_back(stored.item);
        }
    }
    return items;
}

} // namespace agatespar
