// The times and bounds of billing, the same on every VM.
#pragma once

#include <chrono>
#include <cstddef>

namespace agatespar {

struct usage_settings {
    /// A VM starts at most one append of usage records in this time.
    std::chrono::milliseconds append_interval{std::chrono::seconds{5}};
    /// The same while no other VM can hold records, so that answers need not wait for long.
    std::chrono::milliseconds lone_append_interval{100};
    /// Waits this long after a failed append.
    std::chrono::milliseconds retry_interval{std::chrono::seconds{5}};
    /// Asks another VM to hold a record after this time.
    std::chrono::milliseconds hold_timeout{250};
    /// The last byte goes out after this time even if no VM took the record; it then rests on this VM alone.
    std::chrono::milliseconds hold_patience{std::chrono::seconds{1}};
    /// A holder asks for the release after this time, and takes the record over if that stays unanswered as long again.
    std::chrono::milliseconds max_hold{std::chrono::minutes{1}};
    /// Records that wait for the log; above this, new requests are refused before they start.
    std::size_t max_pending{20'000};
    /// Records held for other VMs; above this, holds are declined.
    std::size_t max_held{20'000};
    std::size_t max_batch_records{500};
};

} // namespace agatespar
