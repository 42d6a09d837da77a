// The authenticated token by which a session keeps its versions, without state on any VM.
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

/// What a session carries from request to request.
struct session_token {
    std::string session_id;
    /// The versions that the session is pinned to, at most one per model.
    std::vector<version_id> versions;
    wall_time issued;
};

/// One secret; its id travels in the token, so that keys can be rotated.
struct token_key {
    std::uint32_t id{0};
    std::array<unsigned char, token_secret_bytes> secret{};
};

/// The keys of a fleet. All are accepted, the first signs; a key is rotated by adding the new one as last on every
/// VM, then moving it to the front, then removing the old one when its last tokens have aged out.
struct token_keys {
    std::vector<token_key> keys;
};

/// @return the token as URL-safe text, or `too_large` if the session id or a name exceeds its bound, or
/// `invalid_argument` if there is no key to sign with.
outcome<std::string> encode_session_token(const session_token& token, const token_keys& keys);

/// @param max_age older tokens are refused. @return the token, `too_large`, `malformed`, `unauthenticated` for a
/// forged token or an unknown key, or `expired`.
outcome<session_token> decode_session_token(std::string_view text, const token_keys& keys, wall_time now,
                                            std::chrono::seconds max_age);

} // namespace agatespar
