// Counts requests and tokens per request class and VM. VMs merge each other's counts by maximum.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/support/ids.h>

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace agatespar {

/// Number of complete answers of a class, and their tokens. The counts never decrease.
struct class_tally {
    std::uint64_t answers{0};
    std::uint64_t prompt_tokens{0};
    std::uint64_t output_tokens{0};
};

/// Total traffic of each class over all VMs. Each VM increments only its own row, so the result of a merge does not
/// depend on delayed, duplicate or reordered rows.
class traffic_counts {
public:
    /// @param own the VM whose row `record` increments.
    traffic_counts(boot_id own, std::size_t classes);

    /// Counts an answered request. To be called once per request, regardless of its number of attempts.
    void record(class_index request_class, std::uint64_t prompt_tokens, std::uint64_t output_tokens);
    /// Merges another VM's row by maximum. A row with a different number of classes is ignored.
    void merge(boot_id vm, std::span<const class_tally> row);

    std::span<const class_tally> own_row() const { return rows_.at(own_); }
    const class_tally& total(class_index request_class) const { return totals_[request_class.value()]; }
    /// @param default_value result while the class has no answers.
    /// @return the mean number of output tokens per answer.
    double mean_output_tokens(class_index request_class, double default_value) const;
    /// @param default_value result while the class has no answers.
    /// @return the mean number of tokens per request, prompt and answer together.
    double mean_tokens(class_index request_class, double default_value) const;

private:
    boot_id own_;
    std::map<boot_id, std::vector<class_tally>> rows_;
    std::vector<class_tally> totals_;
};

} // namespace agatespar
