// Units of quantities other than time; times use the std::chrono types.
#pragma once

#include <agatespar/support/strong_type.h>

#include <cstdint>

namespace agatespar {

using token_count = strong<struct token_count_tag, std::uint64_t>;
/// Cost in a unit that the operators choose; prices of versions are per 1000 tokens.
using cost_units = strong<struct cost_units_tag, double>;

} // namespace agatespar
