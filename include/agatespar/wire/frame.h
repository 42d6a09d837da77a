// Sealed frames: each carries one message between two VMs, encrypted and authenticated with the shared VM key.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>
#include <agatespar/wire/message_kind.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace agatespar {

/// The secret key that all VMs of the system share.
struct vm_key {
    static constexpr std::size_t size = 32;
    std::array<unsigned char, size> bytes{};
};

/// @param passphrase the value of the VM key setting, at least 16 characters. @return the derived key, or
/// invalid_argument.
outcome<vm_key> derive_vm_key(std::string_view passphrase);

/// One message with the identity of its sender.
struct frame {
    boot_id sender;
    /// Address at which the sender receives frames, "ip:port".
    std::string reply_address;
    /// Strictly ascending over the frames that the sender sends to one receiver.
    std::uint64_t sequence{0};
    wall_time sent;
    message_kind kind{};
    std::string payload;
};

/// Frames whose time of sending differs from the receiver's clock by more than this, in either direction, are refused
/// as replays.
inline constexpr std::chrono::seconds frame_time_tolerance{30};

/// Encrypts and authenticates a frame. @return bytes that only holders of the key can read or create.
std::string seal_frame(const frame& content, const vm_key& key);

/// Verifies and decrypts received bytes. @return the frame, unauthenticated for bytes that were not sealed with the
/// key, or malformed.
outcome<frame> open_frame(std::string_view bytes, const vm_key& key);

/// Refuses repeated, reordered and outdated frames.
class replay_guard {
public:
    /// @return whether a frame is new; if so, records its sequence number.
    bool accept(const frame& received, wall_time now);

private:
    struct sender_state {
        std::uint64_t last_sequence;
        wall_time last_seen;
    };
    static constexpr std::size_t max_senders = 4096;

    void remove_outdated_senders(wall_time now);

    std::unordered_map<boot_id, sender_state> senders_;
};

} // namespace agatespar
