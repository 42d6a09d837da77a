// The VMs that are registered in the store, and which of them read the store for the others.
#pragma once

#include <agatespar/gateway/fleet_records.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agatespar {

/// A VM's own entry in the list.
struct listed_vm {
    std::string name;
    zone_name zone;
    /// "ip:port" at which it receives messages from other VMs.
    std::string address;
    /// Bandwidth of its network link in Mbit/s, and its share of a CPU core. VMs with larger values are preferred as
    /// readers.
    double link_mbps{0};
    double cpu_share{0};
    /// Increases each time the VM renews its row, so that other VMs can detect a row that is no longer renewed.
    std::uint64_t turn{0};

    bool operator==(const listed_vm&) const = default;
};

/// Key of the record that holds the secret shared by all VMs.
inline constexpr const char* shared_secret_key = "secret";

/// @return the key of a VM's record.
std::string vm_record_key(const std::string& vm_name);
/// @return a VM's record, as JSON.
keyed_record write_vm_record(const listed_vm& vm);
/// @return the VM; `malformed` if the record can't be parsed, `not_found` if its key is not that of a VM record.
outcome<listed_vm> read_vm_record(const keyed_record& record);

/// Up to this many VMs, each VM pulls records from the readers directly. In larger fleets, records are forwarded along
/// a tree in each zone.
inline constexpr std::size_t max_flat_vms = 32;
/// VMs at the root of a zone's tree, which pull from the readers. Two, so that the zone tolerates the loss of either.
inline constexpr std::size_t zone_tree_roots = 2;
/// VMs of a zone's tree that have a given VM as their first upstream; the same number has it as their second.
inline constexpr std::size_t tree_fanout = 8;

/// @return the number of readers in a fleet of `vms` VMs. In a large fleet, one reader remains after the loss of two at
/// once.
std::size_t reader_count(std::size_t vms);

/// @return all VMs in order of preference as readers of the store. The order alternates between the zones, so that a
/// few readers are spread over them; within a zone, the VMs with the fastest links come first. All VMs that have the
/// same list compute the same order.
std::vector<listed_vm> reading_order(const std::map<std::string, listed_vm>& vms);

/// The readers of the store and the forwarding order of the VMs in one zone, computed from one VM's local state.
struct reading_plan {
    std::vector<listed_vm> readers;
    /// Responsive VMs of the zone; the position determines a VM's place in the tree. Empty while all VMs pull from the
    /// readers directly.
    std::vector<listed_vm> zone_order;
};

/// @param order from reading_order(). @param is_silent whether a VM has recently failed to answer; such a VM is
/// replaced by the next one in the order.
reading_plan make_reading_plan(const std::vector<listed_vm>& order, const zone_name& zone,
                               const std::function<bool(const std::string&)>& is_silent);

/// @return the depth of a VM in its zone's tree; 0 if it pulls from the readers directly.
std::size_t tree_depth_of(const reading_plan& plan, const std::string& vm_name);

/// @return the upstreams of a VM, at most two; the first one is the one that sends it changes. They are readers, those
/// in its own zone first and then by rendezvous hashing, or its two parents in its zone's tree.
std::vector<listed_vm> choose_upstreams(const reading_plan& plan, const listed_vm& self);

} // namespace agatespar
