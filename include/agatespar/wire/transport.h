// Carries sealed frames between the VMs' processes over nng sockets.
#pragma once

#include <agatespar/support/outcome.h>
#include <agatespar/wire/frame.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace agatespar {

class glib_event_loop;

/// Where a process receives frames and how it proves to belong to the system.
struct transport_settings {
    /// "ip:port"; port 0 picks a free one.
    std::string listen_address;
    vm_key key;
    boot_id self;
};

/// Counts of frames and bytes since the start.
struct transport_counters {
    std::uint64_t frames_sent{0};
    std::uint64_t bytes_sent{0};
    std::uint64_t frames_received{0};
    std::uint64_t bytes_received{0};
    /// Frames that could not be sent, because the peer does not take them.
    std::uint64_t frames_dropped{0};
    std::uint64_t frames_refused{0};
    std::uint64_t frames_replayed{0};
};

/// One-way, ordered, best-effort delivery of frames; requests and replies are matched by their messages.
class transport {
public:
    using frame_handler = std::function<void(const frame&)>;

    /// Starts to listen. @return unavailable if the address can't be bound.
    static outcome<std::unique_ptr<transport>> open(glib_event_loop& loop, const transport_settings& settings);

    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;
    ~transport();

    /// @return the address that peers send to, "ip:port", with the port that was picked.
    const std::string& address() const;
    /// @return the boot id of this process.
    boot_id self() const;
    /// Sets the function that gets every accepted frame.
    void set_handler(frame_handler handler);
    /// Sends a message. @return whether it was taken for sending; delivery is not certain.
    bool send(const std::string& address, message_kind kind, std::string payload);
    /// Drops the connection to a peer, with what waits for it; the next message opens a new one.
    void forget(const std::string& address);
    const transport_counters& counters() const;
    /// @return frames and bytes sent and received of one kind.
    const transport_counters& counters_of(message_kind kind) const;

private:
    struct impl;
    explicit transport(std::unique_ptr<impl> state);

    std::unique_ptr<impl> impl_;
};

} // namespace agatespar
