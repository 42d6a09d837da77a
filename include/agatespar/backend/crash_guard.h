// Attributes crashes of backend servers to the requests that were running on them, so that retries of a request that
// crashes its server are refused before it crashes further servers.
#pragma once

#include <agatespar/backend/permit.h>
#include <agatespar/membership/messages.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace agatespar {

/// How a request may be run, given the crashes that occurred while it was running.
enum class crash_verdict : std::uint8_t {
    clear = 0,
    /// Was one of several requests in flight at a crash: may run only on a server that runs nothing else.
    suspect = 1,
    /// Was the only request on a server that crashed, or was in flight at two crashes: is refused.
    guilty = 2,
};

struct crash_guard_settings {
    /// How long a verdict remains valid after it was reached or received.
    std::chrono::seconds verdict_lifetime{3600};
    /// Maximum number of verdicts that this VM stores; beyond it, the one that expires first is evicted.
    std::size_t max_verdicts{512};
    /// How long the error response to a request that was in flight at a crash is delayed, so that every VM has received
    /// the verdict before the caller can send the request again.
    std::chrono::milliseconds answer_delay{1500};
};

/// What the VM has to do after the connection to a server broke while a request was running on it.
struct crash_notice {
    /// The new verdict, to be published as an urgent gossip item.
    gossip_item item;
    /// The verdict on the request after this crash.
    crash_verdict verdict{crash_verdict::suspect};
    /// How long to delay the error response to the caller.
    std::chrono::milliseconds answer_delay{0};
};

/// Stores the verdicts that this VM reached itself or received from other VMs.
class crash_guard {
public:
    explicit crash_guard(crash_guard_settings settings = {}) : settings_(settings) {}

    /// @return the verdict that applies to a request now; clear if there is none or it has expired.
    crash_verdict verdict(request_fingerprint request, steady_time now) const;
    /// Records that a server crashed while a request was running on it.
    /// @param alone whether it was the only request on the server.
    /// @param wall_now calendar time, from which the expiry of the gossip item is computed.
    /// @return the verdict, the item to publish and the delay of the error response.
    crash_notice on_crash(request_fingerprint request, bool alone, steady_time now, wall_time wall_now);
    /// Records that a request completed as the only one on its server, which clears it if it was a suspect.
    /// @return an item to publish if it was a suspect, else nothing.
    std::optional<gossip_item> on_completed_alone(request_fingerprint request, steady_time now, wall_time wall_now);
    /// Applies a gossip item of kind quarantine_verdict, unless a newer version is stored.
    /// @return false if it is malformed.
    bool on_item(const gossip_item& item, steady_time now);
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        /// Crashes attributed to the request, limited to the number at which the verdict is guilty.
        std::uint8_t strikes{0};
        /// Version of the gossip item; a higher one replaces a lower one.
        std::uint64_t version{0};
        steady_time expires;
    };

    entry* find(request_fingerprint request, steady_time now);
    entry& insert_entry(request_fingerprint request);
    gossip_item make_item(request_fingerprint request, const entry& held, wall_time wall_now) const;

    crash_guard_settings settings_;
    std::unordered_map<request_fingerprint, entry> entries_;
};

} // namespace agatespar
