// Copies of other VMs' usage records, kept until the log has confirmed the records.
#pragma once

#include <agatespar/ledger/usage_messages.h>
#include <agatespar/support/clock.h>

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace agatespar {

/// Stores copies of usage records by the VM that they are held for: the origin of the record or a VM that took it over.
class usage_holder {
public:
    using held_key = std::pair<boot_id, usage_sequence>;

    /// Held records that were not released in time.
    struct overdue_records {
        /// The release must be requested from the VM that the record is held for.
        std::vector<held_key> query;
        /// That VM did not answer; this VM appends the records itself and no longer holds them.
        std::vector<usage_record> take_over;
    };

    explicit usage_holder(duration max_hold) : max_hold_(max_hold) {}

    /// Stores a record, or extends the time for which it is held.
    void hold(boot_id from, const usage_record& record, steady_time now);
    void release(boot_id from, const usage_sequence& sequence) { held_.erase({from, sequence}); }
    bool holds(boot_id from, const usage_sequence& sequence) const { return held_.contains({from, sequence}); }
    std::size_t size() const { return held_.size(); }

    /// Removes the records held for a VM that failed or left. @return the removed records.
    std::vector<usage_record> take_over(boot_id member);
    /// @return the records that are overdue at `now`.
    overdue_records collect_overdue(steady_time now);

private:
    struct entry {
        usage_record record;
        steady_time due;
        bool queried{false};
    };

    duration max_hold_;
    std::map<held_key, entry> held_;
};

} // namespace agatespar
