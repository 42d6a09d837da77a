// The records that a VM holds for others until the log has them.
#pragma once

#include <agatespar/ledger/usage_messages.h>
#include <agatespar/support/clock.h>

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace agatespar {

/// Keeps held records by the VM that they are held for, which is a record's origin or a VM that took it over.
class usage_holder {
public:
    using held_key = std::pair<boot_id, usage_sequence>;

    /// Records whose release is overdue.
    struct overdue_records {
        /// To be asked for.
        std::vector<held_key> ask;
        /// Asked for in vain; no longer held.
        std::vector<usage_record> take_over;
    };

    explicit usage_holder(duration max_hold) : max_hold_(max_hold) {}

    /// Holds a record, or holds it for another while.
    void hold(boot_id from, const usage_record& record, steady_time now);
    void release(boot_id from, const usage_sequence& sequence) { held_.erase({from, sequence}); }
    bool holds(boot_id from, const usage_sequence& sequence) const { return held_.contains({from, sequence}); }
    std::size_t size() const { return held_.size(); }

    /// @return the records held for a VM that is gone; they are no longer held.
    std::vector<usage_record> take_over(boot_id member);
    /// @return what is overdue now.
    overdue_records collect_overdue(steady_time now);

private:
    struct entry {
        usage_record record;
        steady_time due;
        bool asked{false};
    };

    duration max_hold_;
    std::map<held_key, entry> held_;
};

} // namespace agatespar
