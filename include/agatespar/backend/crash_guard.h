// Attributes crashes of backend servers to the requests that ran on them, so that one request cannot crash them all.
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

/// What a request may do after the crashes that it took part in.
enum class crash_verdict : std::uint8_t {
    clear = 0,
    /// It was among those in flight at a crash: it may run only where nothing else runs.
    suspect = 1,
    /// It crashed a server alone, or was there twice: it is refused.
    guilty = 2,
};

struct crash_guard_settings {
    /// How long a verdict holds.
    std::chrono::seconds verdict_lifetime{3600};
    /// Verdicts that this VM keeps at most.
    std::size_t max_verdicts{512};
    /// How long a caller waits for the failure of a request that was there at a crash, so that every VM knows the
    /// verdict before the caller can send the request again.
    std::chrono::milliseconds answer_delay{1500};
};

/// What follows from a connection that broke under a running request.
struct crash_notice {
    /// To be published as an urgent gossip item.
    gossip_item item;
    crash_verdict verdict{crash_verdict::suspect};
    std::chrono::milliseconds answer_delay{0};
};

/// Keeps the verdicts that this VM reached or heard of.
class crash_guard {
public:
    explicit crash_guard(crash_guard_settings settings = {}) : settings_(settings) {}

    /// @return what a request may do now.
    crash_verdict verdict(request_fingerprint request, steady_time now) const;
    /// Takes in that a server crashed while a request ran on it.
    /// @param alone whether it ran with nothing else on the server. @param wall_now calendar time, for the expiry.
    crash_notice on_crash(request_fingerprint request, bool alone, steady_time now, wall_time wall_now);
    /// Takes in that a suspect ran alone to its end, which clears it. @return an item to publish if it was a suspect.
    std::optional<gossip_item> on_completed_alone(request_fingerprint request, steady_time now, wall_time wall_now);
    /// Takes a gossip item of kind quarantine_verdict. @return false if it is malformed.
    bool on_item(const gossip_item& item, steady_time now);
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::uint8_t strikes{0};
        std::uint64_t version{0};
        steady_time expires;
    };

    entry* find(request_fingerprint request, steady_time now);
    entry& make_room(request_fingerprint request);
    gossip_item make_item(request_fingerprint request, const entry& held, wall_time wall_now) const;

    crash_guard_settings settings_;
    std::unordered_map<request_fingerprint, entry> entries_;
};

} // namespace agatespar
