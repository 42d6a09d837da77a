// Times and limits of billing. They must be the same on every VM.
#pragma once

#include <chrono>
#include <cstddef>

namespace agatespar {

struct usage_settings {
    /// Minimum interval between two appends of usage records of a VM.
    std::chrono::milliseconds append_interval{std::chrono::seconds{5}};
    /// Delay of an append while no other VM can hold records. Short, because answers wait for the append.
    std::chrono::milliseconds unheld_append_interval{100};
    /// Delay of the next append after a failed one.
    std::chrono::milliseconds retry_interval{std::chrono::seconds{5}};
    /// If the VM asked to hold a record does not answer within this time, another one is asked.
    std::chrono::milliseconds hold_timeout{250};
    /// The last byte of an answer is sent after this time even if no other VM holds the record. The record is then lost
    /// if this VM fails before the append.
    std::chrono::milliseconds max_hold_wait{std::chrono::seconds{1}};
    /// A holder asks for the release after this time, and takes the record over after the same time without an answer.
    std::chrono::milliseconds max_hold{std::chrono::minutes{1}};
    /// Maximum number of this VM's records that are reserved or not confirmed by the log; beyond it, new requests are
    /// refused before they start.
    std::size_t max_pending{20'000};
    /// Maximum number of records held for other VMs or taken over from them; beyond it, holds are declined.
    std::size_t max_held{20'000};
    std::size_t max_batch_records{500};
};

} // namespace agatespar
