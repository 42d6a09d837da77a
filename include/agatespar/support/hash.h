// Stable hash functions, with equal results on every VM and in every run.
#pragma once

#include <cstdint>
#include <string_view>

namespace agatespar {

/// @param bytes the data to hash. @param seed makes hashes of the same data for different purposes differ.
/// @return the 64-bit XXH3 hash.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/// @return one hash of an ordered pair of hashes.
std::uint64_t combine_hashes(std::uint64_t first, std::uint64_t second);

} // namespace agatespar
