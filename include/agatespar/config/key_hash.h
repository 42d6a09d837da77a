// Hashes of the keys of client accounts and operators. Keys are stored only as hashes.
#pragma once

#include <agatespar/support/strong_type.h>

#include <string>
#include <string_view>

namespace agatespar {

/// 64 lower-case hexadecimal digits of a BLAKE2b-256 hash.
using key_hash = strong<struct key_hash_tag, std::string>;

inline constexpr std::size_t key_hash_digits = 64;

/// @param key a secret key of high entropy. @return its BLAKE2b-256 hash.
key_hash hash_key(std::string_view key);

/// @return whether the text has the form of a key hash.
bool is_key_hash(std::string_view text);

} // namespace agatespar
