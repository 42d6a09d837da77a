// One VM's view of the members of its zone, and the updates of this view that are still to be sent.
#pragma once

#include <agatespar/membership/messages.h>
#include <agatespar/support/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace agatespar {

/// One member as this VM sees it.
struct member_entry {
    member_update update;
    /// When the update was applied.
    steady_time since;
    /// Set once the member announces that it is leaving, and never reset.
    bool leaving{false};
    /// How many more times the update is sent.
    std::uint32_t sends_left{0};
};

/// Stores the newest update of each member, ordered by incarnation and then by state.
class member_table {
public:
    explicit member_table(const member_update& self);

    const member_update& self() const { return members_.at(self_).update; }
    const member_entry* find(boot_id boot) const;
    const std::map<boot_id, member_entry>& all() const { return members_; }

    /// Applies an update if it is newer than the stored one. @return true if it was.
    bool apply(const member_update& update, steady_time now);
    /// Raises this VM's own incarnation above a given one. @param state alive or leaving.
    void reassert(std::uint32_t above, member_state state, steady_time now);
    /// Moves the start of all suspicions forward by the time for which this process was paused.
    void extend_suspicions(duration gap);
    /// Removes a dead member, so that it no longer counts for the majority.
    void forget(boot_id boot);

    /// @return at most count updates to send, those sent least often first; each is sent O(log n) times for n members.
    std::vector<member_update> take_updates(std::size_t count);
    /// Sends a member's update again, for example after a message whose sender does not have it.
    void resend_update(boot_id boot);

    /// @return the sorted boot ids of the live members that are not leaving.
    std::span<const boot_id> owners() const { return owners_; }
    /// @return the sorted boot ids of all members that are alive, leaving or suspected.
    std::span<const boot_id> live() const { return live_; }
    std::optional<vm_address> address_of(boot_id boot) const;
    /// @return the live member at an address, if any.
    const member_entry* at_address(const vm_address& address) const;
    /// @return whether the live members are more than half of the known members, live or dead.
    bool has_majority() const;
    /// @return a number that increases whenever owners() or live() changes.
    std::uint64_t view_version() const { return view_version_; }
    /// @return an order-independent hash of the live members and incarnations.
    std::uint64_t digest() const { return digest_; }

private:
    void refresh();
    std::uint32_t sends_per_update() const;

    boot_id self_;
    std::map<boot_id, member_entry> members_;
    std::vector<boot_id> owners_;
    std::vector<boot_id> live_;
    std::uint64_t view_version_{0};
    std::uint64_t digest_{0};
};

} // namespace agatespar
