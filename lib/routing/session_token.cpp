// Encodes and verifies session tokens: the key id, the MessagePack-encoded fields and a MAC over both, as URL-safe
// Base64.
#include <agatespar/routing/session_token.h>

#include <msgpack.hpp>
#include <sodium.h>

#include <algorithm>
#include <cstring>

namespace agatespar {

namespace {

/// The MessagePack representation of a version id.
struct packed_version {
    std::string fleet;
    std::string model;
    std::string version;
    MSGPACK_DEFINE_ARRAY(fleet, model, version)
};

/// The MessagePack representation of a token's fields.
struct packed_token {
    std::string session_id;
    std::int64_t issued_s{0};
    std::vector<packed_version> versions;
    MSGPACK_DEFINE_ARRAY(session_id, issued_s, versions)
};

} // namespace

static constexpr std::size_t key_id_bytes = 4;
static constexpr int base64_variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
static_assert(crypto_auth_KEYBYTES == token_secret_bytes);

/// @return the key id (little-endian), the fields and the MAC over both.
static std::string with_mac(const token_key& key, const std::string& fields)
{
    std::string bytes;
    for (std::size_t i = 0; i < key_id_bytes; ++i)
        bytes.push_back(static_cast<char>(key.id >> (8 * i) & 0xffU));
    bytes += fields;
    std::array<unsigned char, crypto_auth_BYTES> mac{};
    crypto_auth(mac.data(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), key.secret.data());
    bytes.append(reinterpret_cast<const char*>(mac.data()), mac.size());
    return bytes;
}

/// @return the bytes as URL-safe Base64 without padding.
static std::string encode_base64(const std::string& bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), base64_variant), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                      base64_variant);
    text.resize(std::strlen(text.c_str()));
    return text;
}

outcome<std::string> encode_session_token(const session_token& token, const token_keys& keys)
{
    if (keys.keys.empty())
        return failure(error_code::invalid_argument, "there is no key to sign session tokens with");
    if (token.session_id.size() > max_session_id_bytes || token.versions.size() > max_token_versions)
        return failure(error_code::too_large, "the session id or the list of versions is too long for a token");
    packed_token packed;
    packed.session_id = token.session_id;
    packed.issued_s = std::chrono::duration_cast<std::chrono::seconds>(token.issued.time_since_epoch()).count();
    for (const version_id& each : token.versions)
        packed.versions.push_back({each.model.fleet.value(), each.model.name.value(), each.version.value()});
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, packed);
    std::string text = encode_base64(with_mac(keys.keys.front(), {buffer.data(), buffer.size()}));
    if (text.size() > max_token_bytes)
        return failure(error_code::too_large, "the names in the session token are too long");
    return text;
}

/// Decodes Base64 text. @return the bytes, at least as many as the key id and the MAC take, or `malformed`.
static outcome<std::string> decode_base64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t size = 0;
    const char* end = nullptr;
    const int failed = sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
                                         text.size(), nullptr, &size, &end, base64_variant);
    if (failed != 0 || end != text.data() + text.size() || size < key_id_bytes + crypto_auth_BYTES)
        return failure(error_code::malformed, "the session token is not valid Base64, or is too short");
    bytes.resize(size);
    return bytes;
}

/// Verifies the MAC. @return the MessagePack-encoded fields, or `unauthenticated` if the key is unknown or the MAC is
/// wrong.
static outcome<std::string_view> verify_fields(const std::string& bytes, const token_keys& keys)
{
    std::uint32_t id = 0;
    for (std::size_t i = 0; i < key_id_bytes; ++i)
        id |= std::uint32_t{static_cast<unsigned char>(bytes[i])} << (8 * i);
    const auto key = std::find_if(keys.keys.begin(), keys.keys.end(), [&](const token_key& k) { return k.id == id; });
    if (key == keys.keys.end())
        return failure(error_code::unauthenticated, "the session token's key is not known or no longer in use");
    const std::size_t signed_size = bytes.size() - crypto_auth_BYTES;
    const auto* data = reinterpret_cast<const unsigned char*>(bytes.data());
    if (crypto_auth_verify(data + signed_size, data, signed_size, key->secret.data()) != 0)
        return failure(error_code::unauthenticated, "the authentication code of the session token is invalid");
    return std::string_view{bytes}.substr(key_id_bytes, signed_size - key_id_bytes);
}

static outcome<packed_token> unpack_fields(std::string_view fields)
{
    try {
        return msgpack::unpack(fields.data(), fields.size()).get().as<packed_token>();
    }
    catch (const std::exception&) {
        return failure(error_code::malformed, "the fields of the session token cannot be decoded");
    }
}

outcome<session_token> decode_session_token(std::string_view text, const token_keys& keys, wall_time now,
                                            std::chrono::seconds max_age)
{
    if (text.size() > max_token_bytes)
        return failure(error_code::too_large, "the session token is too long");
    const outcome<std::string> bytes = decode_base64(text);
    if (!bytes)
        return tl::unexpected<error>{bytes.error()};
    const outcome<packed_token> packed =
        verify_fields(*bytes, keys).and_then([](std::string_view fields) { return unpack_fields(fields); });
    if (!packed)
        return tl::unexpected<error>{packed.error()};
    session_token token;
    token.issued = wall_time{std::chrono::seconds{packed->issued_s}};
    if (now - token.issued > max_age)
        return failure(error_code::expired, "the session token has expired");
    token.session_id = packed->session_id;
    for (const packed_version& each : packed->versions) {
        token.versions.push_back(
            {model_id{fleet_name{each.fleet}, model_name{each.model}}, version_name{each.version}});
    }
    return token;
}

} // namespace agatespar
