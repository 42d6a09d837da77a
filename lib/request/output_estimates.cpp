// Moving averages of answers' lengths.
#include <agatespar/request/output_estimates.h>

namespace agatespar {

void output_estimates::record(const request_class_id& request_class, token_count tokens)
{
    double& average = averages_.try_emplace(request_class, initial_tokens).first->second;
    average += newest_weight * (static_cast<double>(tokens.value()) - average);
}

token_count output_estimates::expect(const request_class_id& request_class) const
{
    const auto found = averages_.find(request_class);
    return token_count{static_cast<std::uint64_t>(found == averages_.end() ? initial_tokens : found->second)};
}

} // namespace agatespar
