// Encodes sessions as tokens that are signed with the session secret of the VMs.
#include "session_codec.h"

#include <agatespar/routing/session_token.h>

#include <sodium.h>

namespace agatespar {

static constexpr std::chrono::hours max_session_age{24 * 30};

static token_keys derive_keys(const std::string& secret)
{
    token_key key;
    key.id = 1;
    crypto_generichash(key.secret.data(), key.secret.size(), reinterpret_cast<const unsigned char*>(secret.data()),
                       secret.size(), nullptr, 0);
    return token_keys{{key}};
}

session_codec make_session_codec(const std::string& secret)
{
    const token_keys keys = derive_keys(secret);
    session_codec codec;
    codec.encode = [keys](const session_state& session, wall_time now) {
        return encode_session_token({session.id, session.pins, now}, keys).value_or("");
    };
    codec.decode = [keys](std::string_view text, wall_time now) {
        return decode_session_token(text, keys, now, max_session_age).map([](session_token&& token) {
            return session_state{std::move(token.session_id), std::move(token.versions)};
        });
    };
    return codec;
}

} // namespace agatespar
