// Learns how long the answers of each request class are.
#pragma once

#include <agatespar/config/configuration.h>
#include <agatespar/support/units.h>

#include <unordered_map>

namespace agatespar {

/// Keeps a moving average of the answers' length for each class.
class output_estimates {
public:
    /// Takes in a whole answer.
    void record(const request_class_id& request_class, token_count tokens);
    /// @return the expected length; a class without answers yet counts as medium.
    token_count expect(const request_class_id& request_class) const;

private:
    static constexpr double initial_tokens = 200.0;
    static constexpr double newest_weight = 0.05;

    std::unordered_map<request_class_id, double> averages_;
};

} // namespace agatespar
