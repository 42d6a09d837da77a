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
        /// That VM was queried and did not answer. This VM appends the records to the log itself and no longer holds
        /// them.
        std::vector<usage_record> take_over;
    };

    /// @param max_hold time after which the release of a record is overdue, and after which a VM that was then queried
    /// counts as not answering.
    explicit usage_holder(duration max_hold) : max_hold_(max_hold) {}

    /// Stores a record, or restarts the time after which its release is overdue.
    /// @param from the VM that the record is held for.
    void hold(boot_id from, const usage_record& record, steady_time now);
    /// Removes a record that the log has confirmed. No effect if it is not held.
    void release(boot_id from, const usage_sequence& sequence) { held_.erase({from, sequence}); }
    bool holds(boot_id from, const usage_sequence& sequence) const { return held_.contains({from, sequence}); }
    std::size_t size() const { return held_.size(); }

    /// Removes the records held for a VM that failed or left. @return the removed records.
    std::vector<usage_record> take_over(boot_id member);
    /// Marks overdue records as queried, and removes those that were queried before and are overdue again.
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
