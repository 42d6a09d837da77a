// An authenticated token that carries a session's pinned versions, so that VMs need to keep no session state.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace agatespar {

inline constexpr std::size_t max_session_id_bytes = 64;
inline constexpr std::size_t max_token_versions = 8;
inline constexpr std::size_t max_token_bytes = 2048;
inline constexpr std::size_t token_secret_bytes = 32;

/// The session state that the caller sends along with each request.
struct session_token {
    std::string session_id;
    /// The versions to which the session is pinned, at most one per model.
    std::vector<version_id> versions;
    wall_time issued;
};

/// A secret key. The token contains the id of the key that authenticates it, so that keys can be rotated.
struct token_key {
    std::uint32_t id{0};
    std::array<unsigned char, token_secret_bytes> secret{};
};

/// The keys of a fleet. Tokens of all keys are accepted; new tokens are authenticated with the first key. To rotate
/// keys, append the new key on every VM, then move it to the front, and remove the old key once its last tokens have
/// expired.
struct token_keys {
    std::vector<token_key> keys;
};

/// @return the token as URL-safe Base64 text; `too_large` if the session id, the number of versions or the encoded
/// token exceeds its limit; `invalid_argument` if `keys` is empty.
outcome<std::string> encode_session_token(const session_token& token, const token_keys& keys);

/// @param max_age the age above which a token has expired. @return the token; `too_large`; `malformed`;
/// `unauthenticated` for a forged token or an unknown key; `expired`.
outcome<session_token> decode_session_token(std::string_view text, const token_keys& keys, wall_time now,
                                            std::chrono::seconds max_age);

} // namespace agatespar
