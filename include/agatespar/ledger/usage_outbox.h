// Brings a VM's usage records to the log at least once, with a second VM holding each until then.
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

struct usage_outbox_counters {
    std::uint64_t settled{0};
    std::uint64_t confirmed{0};
    std::uint64_t appends{0};
    std::uint64_t failed_appends{0};
    std::uint64_t hold_timeouts{0};
    /// Records that rested on this VM alone when their answer's last byte went out.
    std::uint64_t released_unheld{0};
    std::uint64_t refused{0};
    /// Records held for other VMs, and those appended in their place.
    std::uint64_t held_for_others{0};
    std::uint64_t declined{0};
    std::uint64_t adopted{0};
};

/// What the outbox needs from the daemon.
struct usage_peers {
    /// @return a live VM to hold a record, other than those already asked, in another zone if one is reachable;
    /// nothing if there is none.
    std::function<std::optional<boot_id>(const std::vector<boot_id>& asked)> choose_holder;
    std::function<void(boot_id, const usage_hold&)> send_hold;
    std::function<void(boot_id, const usage_held&)> send_held;
    std::function<void(boot_id, const usage_release&)> send_release;
};

/// Both sides of the hold: the origin of records, and the holder of other VMs' records.
class usage_outbox {
public:
    usage_outbox(event_loop& loop, log_service log, boot_id self, usage_settings settings, usage_peers peers);
    ~usage_outbox();
    usage_outbox(const usage_outbox&) = delete;
    usage_outbox& operator=(const usage_outbox&) = delete;

    /// Takes a place for a request's record before the request starts.
    /// @return false if the buffer is full: the request is to be refused as not run.
    bool reserve();
    /// Gives back the place of a request that was not run after all.
    void unreserve();
    /// Takes the record of a request that has a place. @param may_finish called once, when the answer's last byte may
    /// go out: another VM holds the record, or the log has it, or the hold patience is over.
    void settle(usage_record record, std::function<void()> may_finish);

    void on_hold(boot_id from, const usage_hold& message);
    void on_held(boot_id from, const usage_held& message);
    void on_release(boot_id from, const usage_release& message);
    /// Appends the records that are held for a VM that died or left.
    void on_member_gone(boot_id member);

    /// Appends what waits without the usual delay, for a planned stop.
    void flush();
    /// @return records that the log has not confirmed, own and adopted; a planned stop waits for zero.
    std::size_t pending() const { return pending_.size(); }
    /// @return records held for other VMs.
    std::size_t held() const { return holder_.size(); }
    const usage_outbox_counters& counters() const { return counters_; }

private:
    struct pending_usage;

    template <class Call>
    void later(duration delay, Call call);
    void add_pending(usage_record record, std::function<void()> may_finish);
    void take_over(std::vector<usage_record> records);
    void ask_holder(const usage_sequence& sequence);
    void send_hold_to_next(pending_usage& entry);
    void let_finish(pending_usage& entry);
    void schedule_append();
    /// Without another VM only the log can hold a record.
    void append_soon();
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
    /// Those of pending_ that this VM did not originate.
    std::size_t taken_over_{0};
    usage_holder holder_;
    steady_time next_append_;
    bool append_scheduled_{false};
    bool soon_scheduled_{false};
    bool append_under_way_{false};
    bool overdue_check_scheduled_{false};
    bool flushing_{false};
    usage_outbox_counters counters_;
    /// Expires with the object, for callbacks that come later.
    std::shared_ptr<const bool> alive_{std::make_shared<const bool>(true)};
};

} // namespace agatespar
