// The owner of one ledger partition: appends claims in batches and decides them by their order in the log.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/ledger/ledger_messages.h>
#include <agatespar/ledger/ledger_settings.h>
#include <agatespar/ledger/partition_reader.h>
#include <agatespar/ledger/partition_state.h>
#include <agatespar/platform/log_service.h>

#include <cstdint>
#include <functional>
#include <list>
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

/// Serves one partition. Several owners may serve a partition at the same time: each reads back the records of the
/// others from the log before it answers.
class claim_owner {
public:
    using reply_function = std::function<void(const ledger_answer&)>;

    claim_owner(event_loop& loop, log_service log, ledger_partition partition, ledger_settings settings);
    ~claim_owner();
    claim_owner(const claim_owner&) = delete;
    claim_owner& operator=(const claim_owner&) = delete;

    /// Starts reading the records within the partition's key window; requests wait until they are read.
    void start();
    /// Serves a request. The reply is sent once, or not at all if the owner is destroyed first.
    void serve(const ledger_request& request, reply_function reply);

    ledger_partition partition() const { return partition_; }
    /// @return whether all records within the partition's key window have been read.
    bool ready() const;
    /// @return the number of requests without a reply; a planned stop waits for zero.
    std::size_t waiting() const { return waiting_.size(); }
    claim_owner_counters counters() const;
    const partition_state& state() const;

private:
    struct waiting_request;

    template <class Call>
    void schedule_if_alive(duration delay, Call call);
    void tick();
    void on_pass(bool ok);
    void try_answer_all();
    bool try_answer(waiting_request& request);
    void answer(const waiting_request& request, const key_evaluation& evaluation);
    void answer_finished(const waiting_request& request, log_offset outcome_at);
    void schedule_flush();
    void flush();
    void on_appended(bool ok);
    void refuse_expired();
    void write_snapshot_if_due();
    void refuse(std::uint64_t request_number, const reply_function& reply);

    event_loop& loop_;
    log_service log_;
    ledger_partition partition_;
    ledger_settings settings_;
    std::shared_ptr<partition_reader> reader_;
    std::list<waiting_request> waiting_;
    bool append_in_flight_{false};
    bool flush_scheduled_{false};
    bool retry_scheduled_{false};
    bool snapshot_in_flight_{false};
    steady_time next_append_;
    steady_time last_snapshot_;
    steady_time next_removal_;
    log_offset snapshot_next_{1};
    claim_owner_counters counters_;
    /// Lets callbacks detect that the object has been destroyed.
    std::shared_ptr<const bool> alive_{std::make_shared<const bool>(true)};
};

} // namespace agatespar
