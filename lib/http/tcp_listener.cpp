// Accepts connections, and pauses when the process has no descriptor left.
#include "socket_address.h"

#include <agatespar/http/tcp_listener.h>
#include <agatespar/telemetry/log.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace agatespar {

// Maximum pending connections of a listener: a VM may receive all clients of a zone whose other VMs failed.
static constexpr int accept_backlog = 1024;
// How long a listener pauses when the process has no descriptor left. Connections end within such a time under load,
// and a client does not notice it.
static constexpr std::chrono::milliseconds accept_pause{100};
// Minimum time between two log lines about such pauses.
static constexpr std::chrono::seconds accept_pause_log_interval{10};

outcome<std::unique_ptr<tcp_listener>> tcp_listener::open(event_loop& loop, const std::string& address,
                                                          accept_callback on_accept)
{
    const auto wanted = parse_address(address);
    if (!wanted) {
        return failure(error_code::invalid_argument, "'" + address + "' is not an IPv4 address with a port");
    }
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return failure(error_code::unavailable, std::string{"cannot create a socket: "} + std::strerror(errno));
    }
    const int one = 1;
    if (setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) != 0 ||
        bind(descriptor, reinterpret_cast<const sockaddr*>(&*wanted), sizeof *wanted) != 0 ||
        listen(descriptor, accept_backlog) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(descriptor);
        return failure(error_code::unavailable, "cannot listen on " + address + ": " + reason);
    }
    return std::make_unique<tcp_listener>(loop, descriptor, std::move(on_accept));
}

tcp_listener::tcp_listener(event_loop& loop, int descriptor, accept_callback on_accept)
    : loop_(loop), descriptor_(descriptor), on_accept_(std::move(on_accept)),
      watch_(descriptor, [this](descriptor_events) { accept_one(); })
{
    watch_.wait_for(true, false);
}

tcp_listener::~tcp_listener()
{
    if (pause_timer_) {
        loop_.cancel(*pause_timer_);
    }
    ::close(descriptor_);
}

std::string tcp_listener::address() const
{
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    if (getsockname(descriptor_, reinterpret_cast<sockaddr*>(&bound), &size) != 0) {
        return {};
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &bound.sin_addr, text.data(), text.size());
    return std::string{text.data()} + ":" + std::to_string(ntohs(bound.sin_port));
}

void tcp_listener::accept_pending()
{
    while (accept_one()) {
    }
}

bool tcp_listener::accept_one()
{
    // The callback may destroy the listener, so no member is accessed after the call.
    const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) {
        on_accept_(tcp_stream::adopt(loop_, accepted));
        return true;
    }
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        pause();
    }
    else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR && errno != ECONNABORTED) {
        log_event(log_severity::warning, "accept_failed", {{"reason", std::strerror(errno)}});
    }
    return false;
}

void tcp_listener::pause()
{
    const std::string reason = std::strerror(errno);
    if (pause_timer_) {
        return;
    }
    ++accept_pauses_;
    const steady_time now = loop_.time().now();
    if (!pause_logged_at_ || now - *pause_logged_at_ >= accept_pause_log_interval) {
        pause_logged_at_ = now;
        log_event(log_severity::warning, "accept_paused", {{"reason", reason}, {"pauses", accept_pauses_}});
    }
    watch_.wait_for(false, false);
    pause_timer_ = loop_.schedule(accept_pause, [this] {
        pause_timer_.reset();
        watch_.wait_for(true, false);
    });
}

} // namespace agatespar
