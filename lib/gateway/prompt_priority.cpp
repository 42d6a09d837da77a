// Maps prompt lengths to priority ranks.
#include <agatespar/gateway/prompt_priority.h>

#include <array>

namespace agatespar {

// Each bound is four times the previous one, so that within a rank the longest prompt delays the shortest one by a
// small multiple of the latter's own processing time.
static constexpr std::array<std::uint64_t, 3> rank_bounds{2'000, 8'000, 32'000};
// Rank of the shortest prompts; the platform's default rank is 5.
static constexpr int shortest_prompt_rank = 3;

int prompt_priority(token_count tokens)
{
    int rank = shortest_prompt_rank;
    for (const std::uint64_t bound : rank_bounds) {
        rank += tokens.value() >= bound ? 1 : 0;
    }
    return rank;
}

} // namespace agatespar
