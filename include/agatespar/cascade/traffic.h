// Counts of requests and tokens by class, per VM, that VMs merge by maximum.
#pragma once

#include <agatespar/routing/indices.h>
#include <agatespar/support/ids.h>

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace agatespar {

/// The whole answers of a class; both only grow.
struct class_tally {
    std::uint64_t answers{0};
    std::uint64_t prompt_tokens{0};
    std::uint64_t output_tokens{0};
};

/// What all VMs together serve of each class. Each VM adds to its own row only, and merging a row late, twice or out of
/// order changes nothing.
class traffic_counts {
public:
    traffic_counts(boot_id own, std::size_t classes);

    /// Counts a request once, when it is answered, however many attempts it took.
    void record(class_index request_class, std::uint64_t prompt_tokens, std::uint64_t output_tokens);
    /// Takes in another VM's row; a row of another size is ignored.
    void merge(boot_id vm, std::span<const class_tally> row);

    std::span<const class_tally> own_row() const { return rows_.at(own_); }
    const class_tally& total(class_index request_class) const { return totals_[request_class.value()]; }
    /// @param otherwise taken until an answer was seen. @return the mean length of an answer.
    double mean_output_tokens(class_index request_class, double otherwise) const;
    /// @return the mean length of prompt and answer together.
    double mean_tokens(class_index request_class, double otherwise) const;

private:
    boot_id own_;
    std::map<boot_id, std::vector<class_tally>> rows_;
    std::vector<class_tally> totals_;
};

} // namespace agatespar
