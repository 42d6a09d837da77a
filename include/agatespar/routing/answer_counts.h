// Counts of good and bad answers per VM, which VMs exchange and merge by maximum (a grow-only counter).
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/support/ids.h>

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace agatespar {

/// Number of good and bad answers. Both only increase.
struct answer_tally {
    std::uint64_t good{0};
    std::uint64_t bad{0};

    std::uint64_t total() const { return good + bad; }
    answer_tally& operator+=(const answer_tally& other)
    {
        good += other.good;
        bad += other.bad;
        return *this;
    }
    friend bool operator==(const answer_tally&, const answer_tally&) = default;
};

/// Tallies by version and request class. Each VM increments only its own row. Rows of other VMs are merged by
/// element-wise maximum, so that the result does not depend on delays, repetition or order.
class answer_counts {
public:
    /// @param own this VM. @param versions number of versions. @param classes number of request classes, at least one.
    answer_counts(boot_id own, std::size_t versions, std::size_t classes);

    /// Counts one answer. Rated answers, errors and truncated answers all count, errors and truncated ones as bad.
    void record(version_index version, class_index request_class, bool good);
    /// Merges the row of another VM. A row of a different size belongs to another configuration and is ignored, and so
    /// is this VM's own row.
    void merge(boot_id vm, std::span<const answer_tally> row);

    /// @return this VM's row, to be sent to other VMs.
    std::span<const answer_tally> own_row() const { return rows_.at(own_); }
    /// @return the sum over all VMs.
    answer_tally total(version_index version, class_index request_class) const
    {
        return totals_[tally_index(version, request_class)];
    }
    /// @return the sum over all VMs and classes.
    answer_tally total(version_index version) const;
    /// @return the position of a tally in a row.
    std::size_t tally_index(version_index version, class_index request_class) const
    {
        return version.value() * classes_ + request_class.value();
    }
    std::size_t versions() const { return totals_.size() / classes_; }
    std::size_t classes() const { return classes_; }

private:
    boot_id own_;
    std::size_t classes_;
    /// The last known row of each VM.
    std::map<boot_id, std::vector<answer_tally>> rows_;
    /// The sum of all rows.
    std::vector<answer_tally> totals_;
};

} // namespace agatespar
