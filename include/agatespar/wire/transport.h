// Transport of sealed frames between the processes of the VMs, over nng sockets.
#pragma once

#include <agatespar/support/outcome.h>
#include <agatespar/wire/frame.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace agatespar {

class glib_event_loop;

/// Maximum size of a sealed frame. A receiver closes the connection on which a larger one arrives.
inline constexpr std::size_t max_frame_bytes = std::size_t{2} << 20U;

/// Address at which a process receives frames, and the identity and key with which it sends them.
struct transport_settings {
    /// "ip:port"; port 0 selects a free one.
    std::string listen_address;
    vm_key key;
    boot_id self;
};

/// Numbers of frames and bytes since the transport was opened.
struct transport_counters {
    std::uint64_t frames_sent{0};
    std::uint64_t bytes_sent{0};
    std::uint64_t frames_received{0};
    std::uint64_t bytes_received{0};
    /// Frames that could not be queued for sending, e.g. because the queue of the peer is full, or that are too large.
    std::uint64_t frames_dropped{0};
    /// Received frames that are malformed or not sealed with the VM key.
    std::uint64_t frames_refused{0};
    /// Received frames that are repeated, reordered or outdated.
    std::uint64_t frames_replayed{0};
};

/// One-way, ordered, best-effort delivery of frames. The transport does not match replies with requests; the messages
/// contain what their handlers need for that.
class transport {
public:
    using frame_handler = std::function<void(const frame&)>;

    /// Starts to listen. @return the transport, or the error `unavailable` if the address can't be bound.
    static outcome<std::unique_ptr<transport>> open(glib_event_loop& loop, const transport_settings& settings);

    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;
    ~transport();

    /// @return the address that peers send to, "ip:port", with the actual port if port 0 was requested.
    const std::string& address() const;
    /// @return the boot id of this process.
    boot_id self() const;
    /// Sets the function that is called for every received frame that is neither refused nor replayed.
    void set_handler(frame_handler handler);
    /// Sends a message, unless its frame is too large for receivers. @param address the receiver's address, "ip:port".
    /// @return whether it was queued for sending; delivery is not guaranteed.
    bool send(const std::string& address, message_kind kind, std::string payload);
    /// Closes the connection to a peer and drops its queued frames; the next message opens a new connection.
    void forget(const std::string& address);
    const transport_counters& counters() const;
    /// @return the counters of the messages of one kind. The kind of a refused or replayed frame is not counted.
    const transport_counters& counters_of(message_kind kind) const;

private:
    struct impl;
    explicit transport(std::unique_ptr<impl> state);

    std::unique_ptr<impl> impl_;
};

} // namespace agatespar
