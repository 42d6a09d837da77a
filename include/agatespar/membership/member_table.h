// What one VM believes of the members of its zone, and which of these beliefs it still has to spread.
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
    steady_time since;
    /// Once announced, leaving holds for good.
    bool leaving{false};
    /// How often the update still goes out.
    std::uint32_t sends_left{0};
};

/// Keeps the newest belief for each member by incarnation and state.
class member_table {
public:
    explicit member_table(const member_update& self);

    const member_update& self() const { return members_.at(self_).update; }
    const member_entry* find(boot_id boot) const;
    const std::map<boot_id, member_entry>& all() const { return members_; }

    /// Takes over a belief if it is newer. @return true if it was.
    bool apply(const member_update& update, steady_time now);
    /// Raises this VM's incarnation above a rumour's. @param state alive or leaving.
    void reassert(std::uint32_t above, member_state state, steady_time now);
    /// Moves the start of all suspicions, after this VM itself was paused.
    void extend_suspicions(duration gap);
    /// Drops a dead member from the majority's base.
    void forget(boot_id boot);

    /// @return the updates that went out least, at most count; each goes out a number of times that grows with log n.
    std::vector<member_update> take_rumours(std::size_t count);
    /// Spreads an update again, e.g. to a sender that is behind.
    void renew_rumour(boot_id boot);

    std::span<const boot_id> owners() const { return owners_; }
    std::span<const boot_id> live() const { return live_; }
    std::optional<vm_address> address_of(boot_id boot) const;
    /// @return the live member at an address, if any.
    const member_entry* at_address(const vm_address& address) const;
    bool has_majority() const;
    std::uint64_t view_version() const { return view_version_; }
    /// @return an order-independent hash of the live members and incarnations.
    std::uint64_t digest() const { return digest_; }

private:
    void refresh();
    std::uint32_t rumour_sends() const;

    boot_id self_;
    std::map<boot_id, member_entry> members_;
    std::vector<boot_id> owners_;
    std::vector<boot_id> live_;
    std::uint64_t view_version_{0};
    std::uint64_t digest_{0};
};

} // namespace agatespar
