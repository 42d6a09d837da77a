// Merges updates about members and derives the lists of live members and owners.
#include <agatespar/membership/member_table.h>
#include <agatespar/support/hash.h>

#include <algorithm>
#include <bit>
#include <cassert>

namespace agatespar {

static bool is_live(const member_entry& entry)
{
    return entry.update.state <= member_state::suspect;
}

static bool overrides(const member_update& update, const member_update& current)
{
    if (current.state == member_state::left) {
        return false;
    }
    if (update.incarnation != current.incarnation) {
        return update.incarnation > current.incarnation;
    }
    return update.state > current.state;
}

member_table::member_table(const member_update& self) : self_(self.boot)
{
    members_[self.boot] = member_entry{self, {}, false, 0};
    refresh();
    resend_update(self.boot);
}

const member_entry* member_table::find(boot_id boot) const
{
    const auto found = members_.find(boot);
    return found == members_.end() ? nullptr : &found->second;
}

bool member_table::apply(const member_update& update, steady_time now)
{
    const auto found = members_.find(update.boot);
    if (found != members_.end() && !overrides(update, found->second.update)) {
        return false;
    }
    member_entry& entry = members_[update.boot];
    entry.update = update;
    entry.since = now;
    entry.leaving = entry.leaving || update.state == member_state::leaving;
    refresh();
    entry.sends_left = sends_per_update();
    return true;
}

void member_table::reassert(std::uint32_t above, member_state state, steady_time now)
{
    member_update update = self();
    update.incarnation = std::max(update.incarnation, above) + 1;
    update.state = state;
    const bool applied = apply(update, now);
    assert(applied && "a higher incarnation overrides every other update");
    (void)applied;
}

void member_table::extend_suspicions(duration gap)
{
    for (auto& [boot, entry] : members_) {
        if (entry.update.state == member_state::suspect) {
            entry.since += gap;
        }
    }
}

void member_table::forget(boot_id boot)
{
    if (boot != self_ && members_.erase(boot) > 0) {
        refresh();
    }
}

std::vector<member_update> member_table::take_updates(std::size_t count)
{
    std::vector<member_entry*> waiting;
    for (auto& [boot, entry] : members_) {
        if (entry.sends_left > 0) {
            waiting.push_back(&entry);
        }
    }
    const std::size_t taken = std::min(count, waiting.size());
    std::partial_sort(
        waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(taken), waiting.end(),
        [](const member_entry* left, const member_entry* right) { return left->sends_left > right->sends_left; });
    std::vector<member_update> updates;
    updates.reserve(taken);
    for (std::size_t index = 0; index < taken; ++index) {
        --waiting[index]->sends_left;
        updates.push_back(waiting[index]->update);
    }
    return updates;
}

void member_table::resend_update(boot_id boot)
{
    const auto found = members_.find(boot);
    if (found != members_.end()) {
        found->second.sends_left = sends_per_update();
    }
}

std::optional<vm_address> member_table::address_of(boot_id boot) const
{
    const member_entry* entry = find(boot);
    return entry == nullptr ? std::nullopt : std::optional{entry->update.address};
}

const member_entry* member_table::at_address(const vm_address& address) const
{
    for (const auto& [boot, entry] : members_) {
        if (is_live(entry) && entry.update.address == address) {
            return &entry;
        }
    }
    return nullptr;
}

bool member_table::has_majority() const
{
    const auto base = std::count_if(members_.begin(), members_.end(), [](const auto& member) {
        return is_live(member.second) || member.second.update.state == member_state::dead;
    });
    return 2 * live_.size() > static_cast<std::size_t>(base);
}

void member_table::refresh()
{
    std::vector<boot_id> live;
    std::vector<boot_id> owners;
    digest_ = 0;
    for (const auto& [boot, entry] : members_) {
        if (!is_live(entry)) {
            continue;
        }
        live.push_back(boot);
        if (!entry.leaving) {
            owners.push_back(boot);
        }
        digest_ ^= combine_hashes(boot.value(), entry.update.incarnation);
    }
    if (live != live_ || owners != owners_) {
        ++view_version_;
    }
    live_ = std::move(live);
    owners_ = std::move(owners);
}

std::uint32_t member_table::sends_per_update() const
{
    // Sending an update 3 * log2(n) times reaches all n members with high probability, even if some messages are lost.
    return 3 * static_cast<std::uint32_t>(std::bit_width(live_.size()));
}

} // namespace agatespar
