// Appends a VM's usage records to the log at least once. A second VM holds a copy of each record until then.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/ledger/usage_holder.h>
#include <agatespar/ledger/usage_messages.h>
#include <agatespar/ledger/usage_settings.h>
#include <agatespar/platform/log_service.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace agatespar {

/// Event counts of one outbox.
struct usage_outbox_counters {
    /// Records accepted by settle().
    std::uint64_t settled{0};
    /// Records, this VM's and those taken over, that the log has confirmed.
    std::uint64_t confirmed{0};
    std::uint64_t appends{0};
    std::uint64_t failed_appends{0};
    /// Repeated attempts to find a holder, because no VM confirmed in time that it holds the record, or the holder
    /// failed.
    std::uint64_t hold_timeouts{0};
    /// Records of which only this VM had a copy when the last byte of the answer was sent.
    std::uint64_t released_unheld{0};
    /// Requests refused by reserve().
    std::uint64_t refused{0};
    /// Records held for other VMs, holds declined, and records taken over from other VMs.
    std::uint64_t held_for_others{0};
    std::uint64_t declined{0};
    std::uint64_t adopted{0};
};

/// Selects other VMs and sends messages to them.
struct usage_peers {
    /// @return a reachable VM to hold a record, other than those already tried, preferably in another zone; nothing if
    /// there is none.
    std::function<std::optional<boot_id>(const std::vector<boot_id>& tried)> choose_holder;
    std::function<void(boot_id, const usage_hold&)> send_hold;
    std::function<void(boot_id, const usage_held&)> send_held;
    std::function<void(boot_id, const usage_release&)> send_release;
};

/// Sends this VM's usage records to the log and to holders, and holds the records of other VMs.
class usage_outbox {
public:
    usage_outbox(event_loop& loop, log_service log, boot_id self, usage_settings settings, usage_peers peers);
    ~usage_outbox();
    usage_outbox(const usage_outbox&) = delete;
    usage_outbox& operator=(const usage_outbox&) = delete;

    /// Reserves space for a request's record before the request starts.
    /// @return false if the buffer is full; the request must then be refused as not run.
    bool reserve();
    /// Cancels the reservation of a request that was not run.
    void unreserve();
    /// Accepts the record of a request with a reservation. @param may_finish called once, when the last byte of the
    /// answer may be sent: another VM holds the record, the log has confirmed it, or `usage_settings::max_hold_wait`
    /// has passed.
    void settle(usage_record record, std::function<void()> may_finish);

    /// Handle the messages of other VMs; see usage_messages.h. @param from the sender.
    void on_hold(boot_id from, const usage_hold& message);
    void on_held(boot_id from, const usage_held& message);
    void on_release(boot_id from, const usage_release& message);
    /// Takes over the records held for a VM that failed or left.
    void on_member_gone(boot_id member);

    /// Appends the pending records without the usual delay, for a planned stop.
    void flush();
    /// @return the number of records, this VM's and those taken over, that the log has not confirmed; a planned stop
    /// waits for zero.
    std::size_t pending() const { return pending_.size(); }
    /// @return the number of records held for other VMs.
    std::size_t held() const { return holder_.size(); }
    const usage_outbox_counters& counters() const { return counters_; }

private:
    struct pending_usage;

    template <class Call>
    void schedule_if_alive(duration delay, Call call);
    void add_pending(usage_record record, std::function<void()> may_finish);
    void take_over(std::vector<usage_record> records);
    void request_hold(const usage_sequence& sequence);
    void send_hold_to_next(pending_usage& entry);
    void allow_finish(pending_usage& entry);
    void schedule_append();
    /// Schedules an append without the usual delay: without another VM, only the log can secure a record.
    void schedule_unheld_append();
    void append_batch();
    void on_appended(const std::vector<usage_sequence>& sequences, bool ok);
    void confirm(const std::vector<usage_sequence>& sequences);
    void schedule_overdue_check();
    void check_overdue();

    event_loop& loop_;
    log_service log_;
    boot_id self_;
    usage_settings settings_;
    usage_peers peers_;
    std::size_t reserved_{0};
    std::uint64_t last_number_{0};
    std::map<usage_sequence, pending_usage> pending_;
    /// Number of records in pending_ that were taken over from other VMs.
    std::size_t taken_over_{0};
    usage_holder holder_;
    steady_time next_append_;
    bool append_scheduled_{false};
    bool unheld_append_scheduled_{false};
    bool append_in_flight_{false};
    bool overdue_check_scheduled_{false};
    bool flushing_{false};
    usage_outbox_counters counters_;
    /// Lets callbacks detect that the object has been destroyed.
    std::shared_ptr<const bool> alive_{std::make_shared<const bool>(true)};
};

} // namespace agatespar
