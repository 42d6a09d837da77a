// Sealing of frames with libsodium's secretbox.
#include <agatespar/wire/codec.h>
#include <agatespar/wire/frame.h>

#include <sodium.h>

namespace agatespar {

static constexpr std::size_t min_passphrase_size = 16;

namespace {

/// The plaintext of a sealed frame.
struct frame_body {
    boot_id sender;
    std::string reply_address;
    std::uint64_t sequence;
    std::int64_t sent_ms;
    std::uint8_t kind;
    std::string payload;
    MSGPACK_DEFINE_ARRAY(sender, reply_address, sequence, sent_ms, kind, payload)
};

} // namespace

static const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

static unsigned char* as_mutable_bytes(std::string& text)
{
    return reinterpret_cast<unsigned char*>(text.data());
}

outcome<vm_key> derive_vm_key(std::string_view passphrase)
{
    if (passphrase.size() < min_passphrase_size) {
        return failure(error_code::invalid_argument, "the VM key is shorter than 16 characters");
    }
    vm_key key;
    crypto_generichash(key.bytes.data(), key.bytes.size(), as_bytes(passphrase), passphrase.size(), nullptr, 0);
    return key;
}

std::string seal_frame(const frame& content, const vm_key& key)
{
    const auto sent = std::chrono::duration_cast<std::chrono::milliseconds>(content.sent.time_since_epoch());
    const std::string body = encode(frame_body{content.sender, content.reply_address, content.sequence, sent.count(),
                                               static_cast<std::uint8_t>(content.kind), content.payload});
    std::string sealed(crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES + body.size(), '\0');
    unsigned char* nonce = as_mutable_bytes(sealed);
    randombytes_buf(nonce, crypto_secretbox_NONCEBYTES);
    crypto_secretbox_easy(nonce + crypto_secretbox_NONCEBYTES, as_bytes(body), body.size(), nonce, key.bytes.data());
    return sealed;
}

outcome<frame> open_frame(std::string_view bytes, const vm_key& key)
{
    constexpr std::size_t overhead = crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES;
    if (bytes.size() < overhead) {
        return failure(error_code::malformed, "the frame is shorter than its nonce and authentication tag");
    }
    std::string body(bytes.size() - overhead, '\0');
    const unsigned char* nonce = as_bytes(bytes);
    const int opened = crypto_secretbox_open_easy(as_mutable_bytes(body), nonce + crypto_secretbox_NONCEBYTES,
                                                  bytes.size() - crypto_secretbox_NONCEBYTES, nonce, key.bytes.data());
    if (opened != 0) {
        return failure(error_code::unauthenticated, "the frame was not sealed with the VM key");
    }
    return decode<frame_body>(body).map([](frame_body&& decoded) {
        return frame{decoded.sender,
                     std::move(decoded.reply_address),
                     decoded.sequence,
                     wall_time{std::chrono::milliseconds{decoded.sent_ms}},
                     static_cast<message_kind>(decoded.kind),
                     std::move(decoded.payload)};
    });
}

bool replay_guard::accept(const frame& received, wall_time now)
{
    if (received.sent < now - frame_time_tolerance || received.sent > now + frame_time_tolerance) {
        return false;
    }
    const auto [entry, inserted] = senders_.try_emplace(received.sender, sender_state{received.sequence, now});
    if (!inserted && received.sequence <= entry->second.last_sequence) {
        return false;
    }
    entry->second = sender_state{received.sequence, now};
    if (senders_.size() > max_senders) {
        remove_outdated_senders(now);
    }
    return true;
}

void replay_guard::remove_outdated_senders(wall_time now)
{
    // Every frame of a sender that was last seen twice the tolerance ago is outdated, so that the time check alone
    // refuses its replay.
    std::erase_if(senders_,
                  [now](const auto& entry) { return entry.second.last_seen < now - 2 * frame_time_tolerance; });
}

} // namespace agatespar
