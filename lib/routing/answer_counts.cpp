// Counts of good and bad answers per VM, which VMs exchange and merge by maximum (a grow-only counter).
#include <agatespar/routing/answer_counts.h>

#include <algorithm>
#include <cassert>

namespace agatespar {

answer_counts::answer_counts(boot_id own, std::size_t versions, std::size_t classes)
    : own_(own), classes_(classes), totals_(versions * classes)
{
    assert(classes > 0 && "a fleet has at least one request class");
    rows_[own_].resize(totals_.size());
}

void answer_counts::record(version_index version, class_index request_class, bool good)
{
    const std::size_t at = tally_index(version, request_class);
    assert(at < totals_.size() && "the version and class must belong to this configuration");
    answer_tally& own = rows_.at(own_)[at];
    ++(good ? own.good : own.bad);
    ++(good ? totals_[at].good : totals_[at].bad);
}

answer_tally answer_counts::total(version_index version) const
{
    answer_tally sum;
    for (std::size_t i = 0; i < classes_; ++i)
        sum += total(version, class_index{static_cast<std::uint8_t>(i)});
    return sum;
}

void answer_counts::merge(boot_id vm, std::span<const answer_tally> row)
{
    if (vm == own_ || row.size() != totals_.size())
        return;
    std::vector<answer_tally>& known = rows_[vm];
    known.resize(totals_.size());
    for (std::size_t i = 0; i < row.size(); ++i) {
        const answer_tally merged{std::max(known[i].good, row[i].good), std::max(known[i].bad, row[i].bad)};
        totals_[i].good += merged.good - known[i].good;
        totals_[i].bad += merged.bad - known[i].bad;
        known[i] = merged;
    }
}

} // namespace agatespar
