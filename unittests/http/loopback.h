// Peers that send and receive raw bytes over loopback, for tests of the HTTP client and server.
#pragma once

#include <agatespar/http/tcp_listener.h>
#include <agatespar/kernel/glib_event_loop.h>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace agatespar::test {

/// Runs the loop until a condition holds. Fails after a long limit, so that a test can't hang.
inline void run_until(glib_event_loop& loop, const std::function<bool()>& condition)
{
    constexpr std::chrono::seconds limit{20};
    constexpr std::chrono::milliseconds step{1};
    const steady_time end = loop.time().now() + limit;
    std::function<void()> check_condition = [&] {
        if (condition() || loop.time().now() > end) {
            loop.quit();
            return;
        }
        loop.schedule(step, check_condition);
    };
    loop.post(check_condition);
    loop.run();
    REQUIRE(condition());
}

/// A connection whose bytes the test itself writes and reads.
struct raw_peer {
    std::shared_ptr<tcp_stream> stream;
    std::string received;
    bool connected{false};
    std::optional<stream_end> ended;

    tcp_callbacks callbacks()
    {
        tcp_callbacks stream_callbacks;
        stream_callbacks.connected = [this] { connected = true; };
        stream_callbacks.received = [this](std::string_view bytes) { received.append(bytes); };
        stream_callbacks.ended = [this](stream_end how) { ended = how; };
        return stream_callbacks;
    }
    void connect(event_loop& loop, const std::string& address)
    {
        auto opened = tcp_stream::connect(loop, address, callbacks());
        REQUIRE(opened);
        stream = *opened;
    }
};

/// A server whose answers the test itself writes as bytes.
struct raw_server {
    std::vector<std::unique_ptr<raw_peer>> peers;
    std::unique_ptr<tcp_listener> listener;

    explicit raw_server(event_loop& loop)
    {
        auto opened = tcp_listener::open(loop, "127.0.0.1:0", [this](std::shared_ptr<tcp_stream> stream) {
            auto peer = std::make_unique<raw_peer>();
            stream->set_callbacks(peer->callbacks());
            peer->stream = std::move(stream);
            peers.push_back(std::move(peer));
        });
        REQUIRE(opened);
        listener = std::move(*opened);
    }
    /// @return the bytes received on all connections, one connection after the other.
    std::string all_received() const
    {
        std::string text;
        for (const auto& peer : peers) {
            text += peer->received;
        }
        return text;
    }
};

/// A client with a blocking socket, so that the operating system has its bytes before the listener's loop runs.
struct blocking_client {
    int descriptor{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};

    explicit blocking_client(const std::string& address)
    {
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0);
    }
    blocking_client(const blocking_client&) = delete;
    blocking_client& operator=(const blocking_client&) = delete;
    ~blocking_client() { close(descriptor); }
    void send_text(const std::string& text) const
    {
        REQUIRE(send(descriptor, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    }
    /// @return the bytes that have arrived.
    std::string receive_text() const
    {
        std::array<char, 4096> buffer{};
        const ssize_t count = recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        return {buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0};
    }
};

} // namespace agatespar::test
