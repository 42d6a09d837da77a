// Forwards plain-service calls to VMs of other zones, and runs calls forwarded from there.
#pragma once

#include <agatespar/request/forwarding.h>
#include <agatespar/request/messages.h>
#include <agatespar/request/request.h>
#include <agatespar/wire/frame.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace agatespar {

/// Dependencies of call_forwarding. All must outlive it.
struct call_forwarding_dependencies {
    event_loop* loop{nullptr};
    std::function<std::uint64_t()> next_id;
    std::function<bool(const std::string& address, message_kind, std::string payload)> send;
    std::function<std::optional<std::string>(const zone_id&)> pick_vm;
    std::function<void(service_request, service_callback)> run;
};

/// Implements both sides of call forwarding. The VM that runs a call claims its key, so a lost answer can be looked up.
class call_forwarding {
public:
    explicit call_forwarding(call_forwarding_dependencies dependencies) : dependencies_(std::move(dependencies)) {}

    /// Sends a call, without retries. The callback receives the answer, unavailable with run_state::not_run if no VM of
    /// the zone can be reached, or outcome_unknown if no answer arrives within `remaining`.
    void send(const zone_id& zone, const service_request& request, duration remaining, service_callback callback);
    /// Handles a frame of kind forward_call or forward_answer.
    void take(const frame& received);

private:
    struct pending_call {
        service_callback callback;
        timer_id timer;
    };

    void handle_call(const frame& received);
    void finish(std::uint64_t id, outcome<service_answer> answer);

    call_forwarding_dependencies dependencies_;
    std::unordered_map<std::uint64_t, pending_call> pending_;
};

} // namespace agatespar
