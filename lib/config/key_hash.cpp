// Computes BLAKE2b hashes of keys with libsodium.
#include <agatespar/config/key_hash.h>

#include <sodium.h>

#include <algorithm>
#include <array>

namespace agatespar {

key_hash hash_key(std::string_view key)
{
    std::array<unsigned char, crypto_generichash_BYTES> hash{};
    static_assert(hash.size() * 2 == key_hash_digits);
    crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(key.data()), key.size(),
                       nullptr, 0);
    std::array<char, key_hash_digits + 1> digits{};
    sodium_bin2hex(digits.data(), digits.size(), hash.data(), hash.size());
    return key_hash{std::string{digits.data(), key_hash_digits}};
}

bool is_key_hash(std::string_view text)
{
    return text.size() == key_hash_digits && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace agatespar
