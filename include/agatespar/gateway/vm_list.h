// The VMs that listed themselves in the store, and which of them read the store for the others.
#pragma once

#include <agatespar/gateway/fleet_records.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agatespar {

/// A VM as it lists itself.
struct listed_vm {
    std::string name;
    zone_name zone;
    /// "ip:port" where it takes messages of other VMs.
    std::string address;
    /// Of its network link, in megabits a second, and its part of a core: the larger ones read for the others.
    double link_mbps{0};
    double cpu_share{0};
    /// Counts the times that it listed itself, so that a row that nobody renews can be told from others.
    std::uint64_t turn{0};

    bool operator==(const listed_vm&) const = default;
};

/// Key of the record that holds the secret which all VMs share.
inline constexpr const char* secret_key = "secret";

/// @return the key of the record by which a VM lists itself.
std::string vm_record_key(const std::string& vm_name);
/// @return the record by which a VM lists itself.
keyed_record write_vm(const listed_vm& vm);
/// @return the VM, or malformed. Records of other keys are `not_found`.
outcome<listed_vm> read_vm(const keyed_record& record);

/// Up to this many VMs all ask the readers of the store themselves; more of them pass records on in a tree.
inline constexpr std::size_t most_flat_vms = 32;
/// VMs of a zone that ask the readers for their zone: two, as any one may be lost.
inline constexpr std::size_t zone_leads = 2;
/// VMs below each VM of a zone's tree that ask it first, and as many that ask it second.
inline constexpr std::size_t tree_width = 8;

/// @return how many of a number of VMs read the store for all: so many that two may be lost at once where VMs are many.
std::size_t reader_count(std::size_t vms);

/// @return all VMs in the order in which they are to read the store: the zones in turn, so that a few readers are
/// spread over them, and in each zone the VMs with the fastest links first. Alike on every VM with the same list.
std::vector<listed_vm> reading_order(const std::map<std::string, listed_vm>& vms);

/// Who reads the store, and the order in which the VMs of one zone pass on what they read, as one VM sees it.
struct reading_plan {
    std::vector<listed_vm> readers;
    /// Sound VMs of the zone. Empty while all VMs ask the readers themselves.
    std::vector<listed_vm> zone_order;
};

/// @param order from reading_order(). @param is_silent VMs that did not answer lately; the next in order replace them.
reading_plan plan_reading(const std::vector<listed_vm>& order, const zone_name& zone,
                          const std::function<bool(const std::string&)>& is_silent);

/// @return VMs between a VM and those that ask the readers; 0 if it asks them itself.
std::size_t depth_of(const reading_plan& plan, const std::string& vm_name);

/// @return the VMs that a VM asks, at most two, the one that is to send it news first: readers, those of its own zone
/// first and then by rendezvous, or the two VMs above it in its zone's tree.
std::vector<listed_vm> choose_sources(const reading_plan& plan, const listed_vm& self);

} // namespace agatespar
