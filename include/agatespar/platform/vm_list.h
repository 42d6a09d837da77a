// Interface to the platform's list of VMs, which is updated with a delay.
#pragma once

#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace agatespar {

enum class vm_kind {
    /// A VM of this system.
    entry,
    /// A backend server that runs a model engine.
    engine,
    /// A backend server that runs a plain service.
    plain,
};

enum class vm_state {
    live,
    leaving,
};

struct vm_entry {
    server_name name;
    vm_kind kind{vm_kind::entry};
    fleet_name fleet;
    zone_name zone;
    region_name region;
    /// An entry VM's "ip:port" for other VMs, or a backend server's URL.
    std::string address;
    /// The service that a backend server runs; empty for an entry VM.
    service_name service;
    vm_state state{vm_state::live};
    /// Number of concurrent requests that a backend server can run while it is cold, and once it is warm.
    std::uint32_t cold_slots{1};
    std::uint32_t slots{1};
    /// Whether a backend server rejects outdated fencing numbers.
    bool fences{false};
};

using vm_list_callback = std::function<void(outcome<std::vector<vm_entry>>)>;

/// The operations of the VM list. Callbacks run on the loop's thread, never from within the call.
struct vm_list_service {
    std::function<void(vm_list_callback)> fetch;
};

} // namespace agatespar
