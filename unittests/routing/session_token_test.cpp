// Tests of encoding and verifying session tokens.
#include <agatespar/routing/session_token.h>

#include <catch2/catch.hpp>

using namespace agatespar;
using namespace std::chrono_literals;

static token_key key_with(std::uint32_t id)
{
    token_key key;
    key.id = id;
    key.secret.fill(static_cast<unsigned char>(id));
    return key;
}

SCENARIO("a session token is accepted by any VM that has the key")
{
    const manual_clock time;
    const token_keys keys{{key_with(2), key_with(1)}};
    session_token token;
    token.session_id = "session-17";
    token.issued = time.wall_now();
    token.versions = {{model_id{fleet_name{"kovacic"}, model_name{"savjetnik"}}, version_name{"4"}}};
    const std::string text = encode_session_token(token, keys).value();

    WHEN("another VM decodes it")
    {
        const auto decoded = decode_session_token(text, keys, time.wall_now() + 1h, 24h);
        THEN("the session, the versions and the time of issue are the same")
        {
            REQUIRE(decoded);
            CHECK(decoded->session_id == token.session_id);
            CHECK(decoded->versions == token.versions);
            CHECK(decoded->issued == token.issued);
        }
    }
    WHEN("any single character of the token is changed")
    {
        THEN("it is refused")
        {
            for (std::size_t i = 0; i < text.size(); ++i) {
                std::string forged = text;
                forged[i] = forged[i] == 'A' ? 'B' : 'A';
                CHECK_FALSE(decode_session_token(forged, keys, time.wall_now(), 24h));
            }
        }
    }
    WHEN("the token is truncated, too long or empty")
    {
        THEN("it is refused")
        {
            CHECK(decode_session_token("", keys, time.wall_now(), 24h).error().code == error_code::malformed);
            CHECK_FALSE(decode_session_token(text.substr(0, text.size() / 2), keys, time.wall_now(), 24h));
            CHECK(
                decode_session_token(std::string(max_token_bytes + 1, 'A'), keys, time.wall_now(), 24h).error().code ==
                error_code::too_large);
        }
    }
    WHEN("keys are rotated")
    {
        THEN("the token is accepted only while its key is listed")
        {
            CHECK(decode_session_token(text, {{key_with(3), key_with(2)}}, time.wall_now(), 24h));
            const auto refused = decode_session_token(text, {{key_with(3)}}, time.wall_now(), 24h);
            CHECK(refused.error().code == error_code::unauthenticated);
        }
    }
    WHEN("the token is older than the maximum age")
    {
        THEN("it is refused as expired")
        {
            const auto refused = decode_session_token(text, keys, time.wall_now() + 25h, 24h);
            CHECK(refused.error().code == error_code::expired);
        }
    }
    WHEN("a session id exceeds the maximum length")
    {
        token.session_id.assign(max_session_id_bytes + 1, 'x');
        THEN("it is refused")
        {
            CHECK(encode_session_token(token, keys).error().code == error_code::too_large);
        }
    }
}
