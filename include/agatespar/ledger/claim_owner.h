// The owner of one ledger partition: appends claims in batches and judges them by the log's order.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/ledger/ledger_messages.h>
#include <agatespar/ledger/ledger_settings.h>
#include <agatespar/ledger/partition_state.h>
#include <agatespar/platform/log_service.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace agatespar {

struct claim_owner_counters {
    std::uint64_t appends{0};
    std::uint64_t appended_records{0};
    std::uint64_t failed_appends{0};
    std::uint64_t reads{0};
    std::uint64_t folded_records{0};
    std::uint64_t recoveries{0};
    std::uint64_t snapshots_written{0};
    std::uint64_t granted{0};
    std::uint64_t refused{0};
};

/// Serves one partition. Two owners of a partition at once are harmless: each reads back what the other wrote.
class claim_owner {
public:
    using reply_function = std::function<void(const ledger_answer&)>;

    claim_owner(event_loop& loop, log_service log, ledger_partition partition, ledger_settings settings);
    ~claim_owner();
    claim_owner(const claim_owner&) = delete;
    claim_owner& operator=(const claim_owner&) = delete;

    /// Starts to read the partition's window; requests wait until that is done.
    void start();
    /// Serves a request; the reply comes once, or never if the owner is destroyed.
    void serve(const ledger_request& request, reply_function reply);

    ledger_partition partition() const;
    /// @return whether the partition's whole window has been read.
    bool ready() const;
    /// @return the number of requests without a reply; a planned stop waits for zero.
    std::size_t waiting() const;
    claim_owner_counters counters() const;
    const partition_state& state() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace agatespar
