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

/// One VM in this many reads the store, and one more; the others ask two of these. A reader answers up to twice this
/// many, which costs it some 0.01% of a core each (measured with 83 VMs).
inline constexpr std::size_t vms_per_reader = 32;

/// @return how many of a number of VMs read the store for all.
std::size_t reader_count(std::size_t vms);

/// @return all VMs in the order in which they are to read the store: the zones in turn, so that a few readers are
/// spread over them, and in each zone the VMs with the fastest links first. Alike on every VM with the same list.
std::vector<listed_vm> reading_order(const std::map<std::string, listed_vm>& vms);

/// @param order from reading_order(). @param is_silent VMs that did not answer lately; the next in order replace them.
/// @return the VMs that read the store.
std::vector<listed_vm> choose_readers(const std::vector<listed_vm>& order,
                                      const std::function<bool(const std::string&)>& is_silent);

/// @return the readers that a VM asks, at most `count`: those of its own zone first, then by rendezvous.
std::vector<listed_vm> choose_sources(const std::vector<listed_vm>& readers, const listed_vm& self, std::size_t count);

} // namespace agatespar
