// Rendezvous hashing: assigns each key to a live VM. All VMs that see the same members compute the same owner.
#pragma once

#include <agatespar/support/ids.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace agatespar {

/// @param key the name of what is owned, e.g. "server/fleet/name". @return the key's hash for the functions below.
std::uint64_t ownership_key(std::string_view key);

/// @param key from ownership_key(). @param members the live VMs, in any order.
/// @return the owner, or nothing if there are no members. Highest random weight (Thaler and Ravishankar, 1998).
std::optional<boot_id> owner_of(std::uint64_t key, std::span<const boot_id> members);

/// @return at most count members in descending order of their weight for the key; the first one is the owner.
std::vector<boot_id> owners_of(std::uint64_t key, std::span<const boot_id> members, std::size_t count);

} // namespace agatespar
