// Ranks prompts by their length.
#include <agatespar/gateway/prompt_priority.h>

#include <array>

namespace agatespar {

// Each bound is four times the one before, so that within a rank the longest prompt delays the shortest by a small
// multiple of the latter's own time.
static constexpr std::array<std::uint64_t, 3> bounds{2'000, 8'000, 32'000};
// The shortest prompts; the platform's own default is 5.
static constexpr int first_rank = 3;

int urgency_of(token_count tokens)
{
    int rank = first_rank;
    for (const std::uint64_t bound : bounds) {
        rank += tokens.value() >= bound ? 1 : 0;
    }
    return rank;
}

} // namespace agatespar
