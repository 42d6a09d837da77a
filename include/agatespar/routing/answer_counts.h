// Counts of good and bad answers, per VM, that VMs merge by maximum.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/support/ids.h>

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace agatespar {

/// Good and bad answers; both only grow.
struct answer_tally {
    std::uint64_t good{0};
    std::uint64_t bad{0};

    std::uint64_t total() const { return good + bad; }
    friend bool operator==(const answer_tally&, const answer_tally&) = default;
};

/// Tallies by version and class. Each VM adds to its own row only, and rows are merged by maximum: merging a row
/// late, twice or out of order changes nothing.
class answer_counts {
public:
    /// @param own the VM that records here.
    answer_counts(boot_id own, std::size_t versions, std::size_t classes);

    /// Counts one answer. A rating, an error and a cut answer all count, the latter two as bad.
    void record(version_index version, class_index request_class, bool good);
    /// Takes in another VM's row; a row of another size belongs to another configuration and is ignored.
    void merge(boot_id vm, std::span<const answer_tally> row);

    /// @return this VM's row, to be sent to others.
    std::span<const answer_tally> own_row() const { return rows_.at(own_); }
    /// @return the sum over all VMs.
    answer_tally total(version_index version, class_index request_class) const
    {
        return totals_[place(version, request_class)];
    }
    std::size_t versions() const { return totals_.size() / classes_; }
    std::size_t classes() const { return classes_; }

private:
    std::size_t place(version_index version, class_index request_class) const
    {
        return version.value() * classes_ + request_class.value();
    }

    boot_id own_;
    std::size_t classes_;
    std::map<boot_id, std::vector<answer_tally>> rows_;
    std::vector<answer_tally> totals_;
};

} // namespace agatespar
