// Units that are counted rather than timed; times use the standard chrono types.
#pragma once

#include <agatespar/support/strong_type.h>

#include <cstdint>

namespace agatespar {

using token_count = strong<struct token_count_tag, std::uint64_t>;
/// Price in the operators' unit; one version's price is given for a thousand tokens.
using cost_units = strong<struct cost_units_tag, double>;

} // namespace agatespar
