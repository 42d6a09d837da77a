// Non-blocking sockets on the event loop.
#include "socket_address.h"

#include <agatespar/http/tcp_stream.h>
#include <agatespar/telemetry/log.h>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <cstring>

namespace agatespar {

// Maximum bytes of one read, so that one connection does not delay the others.
static constexpr std::size_t max_read_bytes = 16 * 1024;
// How long a closing connection whose bytes were all acknowledged waits for the peer's end: a few round trips between
// regions. Also the interval at which it is checked whether the peer still takes bytes.
static constexpr std::chrono::milliseconds linger_timeout{1000};
// A connection with unacknowledged bytes is aborted after this time, since a VM that lost power never resets it. The
// failure of a peer is to be detected within this time.
static constexpr unsigned unacknowledged_timeout_ms = 3000;
// A closing connection whose peer has taken no byte in this many linger_timeout is closed: the same time.
static constexpr int max_stalled_lingers = 3;
// Idle connections are probed, so that the failure of a peer is detected within the same time.
static constexpr int keepalive_interval_s = 1;
static constexpr int keepalive_probes = 2;

bool is_connectable_address(const std::string& text)
{
    const auto address = parse_address(text);
    return address && address->sin_port != 0;
}

std::size_t unacknowledged_bytes(int descriptor)
{
    int held = 0;
    const bool known = ioctl(descriptor, SIOCOUTQ, &held) == 0 && held > 0;
    return known ? static_cast<std::size_t>(held) : 0;
}

static void set_options(int descriptor)
{
    const int one = 1;
    const unsigned timeout = unacknowledged_timeout_ms;
    const int probe_s = keepalive_interval_s;
    const int probes = keepalive_probes;
    // These options are not required: without them, sending or the detection of a failed peer is slower.
    if (setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one) != 0 ||
        setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout) != 0 ||
        setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one) != 0 ||
        setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &probe_s, sizeof probe_s) != 0 ||
        setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &probe_s, sizeof probe_s) != 0 ||
        setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes) != 0) {
        log_event(log_severity::debug, "socket_option_refused", {{"reason", std::strerror(errno)}});
    }
}

outcome<std::shared_ptr<tcp_stream>> tcp_stream::connect(event_loop& loop, const std::string& address,
                                                         tcp_callbacks callbacks)
{
    const auto target = parse_address(address);
    if (!target) {
        return failure(error_code::invalid_argument, "'" + address + "' is not an IPv4 address with a port");
    }
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return failure(error_code::unavailable, std::string{"cannot create a socket: "} + std::strerror(errno));
    }
    set_options(descriptor);
    const int result = ::connect(descriptor, reinterpret_cast<const sockaddr*>(&*target), sizeof *target);
    if (result != 0 && errno != EINPROGRESS) {
        const std::string reason = std::strerror(errno);
        const error_code code = errno == ECONNREFUSED ? error_code::not_found : error_code::unavailable;
        ::close(descriptor);
        return failure(code, "cannot connect to " + address + ": " + reason);
    }
    auto stream = std::make_shared<tcp_stream>(loop, descriptor, true);
    stream->set_callbacks(std::move(callbacks));
    return stream;
}

std::shared_ptr<tcp_stream> tcp_stream::adopt(event_loop& loop, int descriptor)
{
    set_options(descriptor);
    return std::make_shared<tcp_stream>(loop, descriptor, false);
}

tcp_stream::tcp_stream(event_loop& loop, int descriptor, bool connecting)
    : loop_(loop), descriptor_(descriptor), connecting_(connecting)
{
    callbacks_ = std::make_shared<tcp_callbacks>();
    // The watch is destroyed with this object, so the raw pointer is safe; the callback keeps the object alive while it
    // runs.
    watch_.emplace(descriptor, [this](descriptor_events events) {
        const auto self = shared_from_this();
        self->on_ready(events);
    });
    update_watch();
}

void tcp_stream::set_callbacks(tcp_callbacks callbacks)
{
    callbacks_ = std::make_shared<tcp_callbacks>(std::move(callbacks));
}

tcp_stream::~tcp_stream()
{
    // The timer owns a reference to the stream, so if it is still set, the loop is destroying the timer.
    linger_timer_.reset();
    close();
}

void tcp_stream::update_watch()
{
    if (watch_) {
        watch_->wait_for(!connecting_ && (!paused_ || lingering_), connecting_ || !output_.empty());
    }
}

void tcp_stream::on_ready(descriptor_events events)
{
    if (connecting_) {
        finish_connect();
        return;
    }
    if (events.readable) {
        read_available();
    }
    if (is_open() && events.writable) {
        send_pending(true);
    }
    if (is_open() && events.ended && !events.readable) {
        end(stream_end::broken);
    }
}

void tcp_stream::finish_connect()
{
    int problem = 0;
    socklen_t size = sizeof problem;
    if (getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &problem, &size) != 0 || problem != 0) {
        end(stream_end::broken);
        return;
    }
    connecting_ = false;
    update_watch();
    if (const auto callbacks = callbacks_; callbacks->connected) {
        callbacks->connected();
    }
    if (is_open() && !output_.empty()) {
        send_pending(true);
    }
}

void tcp_stream::read_available()
{
    std::array<char, max_read_bytes> buffer; // NOLINT: filled by recv
    const ssize_t count = recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (count > 0) {
        if (const auto callbacks = callbacks_; !lingering_ && callbacks->received) {
            callbacks->received({buffer.data(), static_cast<std::size_t>(count)});
        }
        return;
    }
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return;
    }
    end(count == 0 ? stream_end::closed : stream_end::broken);
}

void tcp_stream::read_now()
{
    if (is_open() && !connecting_ && !paused_) {
        read_available();
    }
}

void tcp_stream::write(std::string_view bytes)
{
    if (!is_open() || bytes.empty()) {
        return;
    }
    write(bytes, nullptr);
}

void tcp_stream::write(std::string_view head, const std::shared_ptr<const std::string>& body)
{
    if (!is_open() || broken_) {
        return;
    }
    std::size_t sent = 0;
    const bool was_empty = output_.empty();
    if (was_empty && !connecting_) {
        sent = send_now({head, body ? std::string_view{*body} : std::string_view{}});
        if (broken_) {
            return;
        }
    }
    const std::size_t sent_of_head = std::min(sent, head.size());
    output_.append(head.substr(sent_of_head));
    if (body) {
        output_.append(body, sent - sent_of_head);
    }
    if (output_.empty()) {
        after_sending(false);
    }
    else if (was_empty) {
        last_sent_at_ = loop_.time().now();
        update_watch();
    }
}

void tcp_stream::count_output(std::shared_ptr<memory_budget> budget, memory_holder holder)
{
    output_.count_in(std::move(budget), holder);
}

std::uint32_t tcp_stream::peer_address() const
{
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (!is_open() || getpeername(descriptor_, reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
        return 0;
    }
    return ntohl(peer.sin_addr.s_addr);
}

std::size_t tcp_stream::send_now(const output_parts& parts)
{
    std::array<iovec, std::tuple_size_v<output_parts>> buffers{};
    std::size_t used = 0;
    for (const std::string_view part : parts) {
        if (!part.empty()) {
            // sendmsg() does not change the bytes.
            buffers[used++] = {const_cast<char*>(part.data()), part.size()}; // NOLINT
        }
    }
    msghdr message{};
    message.msg_iov = buffers.data();
    message.msg_iovlen = used;
    const ssize_t count = sendmsg(descriptor_, &message, MSG_NOSIGNAL);
    if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        // Reported from the loop and not from within write(), so that no callback destroys the caller of write().
        output_.clear();
        broken_ = true;
        shutdown(descriptor_, SHUT_RDWR);
        update_watch();
        return 0;
    }
    if (count <= 0) {
        return 0;
    }
    has_sent_ = true;
    return static_cast<std::size_t>(count);
}

void tcp_stream::send_pending(bool was_waiting)
{
    if (output_.empty()) {
        return;
    }
    const std::size_t count = send_now(output_.front());
    if (broken_) {
        return;
    }
    if (count > 0) {
        last_sent_at_ = loop_.time().now();
        output_.consume(count);
    }
    update_watch();
    if (output_.empty()) {
        after_sending(was_waiting);
    }
}

void tcp_stream::after_sending(bool was_waiting)
{
    if (lingering_) {
        shutdown(descriptor_, SHUT_WR);
        return;
    }
    if (const auto callbacks = callbacks_; was_waiting && callbacks->drained) {
        callbacks->drained();
    }
}

void tcp_stream::pause_reading(bool paused)
{
    if (paused_ != paused) {
        paused_ = paused;
        update_watch();
    }
}

void tcp_stream::end(stream_end how)
{
    const auto callbacks = callbacks_;
    const bool notify = !lingering_;
    has_lost_output_ = broken_ || untaken_bytes() > 0;
    close();
    if (notify && callbacks->ended) {
        callbacks->ended(broken_ ? stream_end::broken : how);
    }
}

void tcp_stream::close()
{
    if (!is_open()) {
        return;
    }
    watch_.reset();
    ::close(descriptor_);
    descriptor_ = -1;
    callbacks_ = std::make_shared<tcp_callbacks>();
    output_.clear();
    if (linger_timer_) {
        // Cancelling drops the timer's reference to this stream.
        const auto self = shared_from_this();
        loop_.cancel(*linger_timer_);
        linger_timer_.reset();
    }
}

void tcp_stream::reset()
{
    if (is_open()) {
        const linger at_once{1, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }
}

void tcp_stream::close_when_sent()
{
    if (!is_open() || lingering_) {
        return;
    }
    lingering_ = true;
    callbacks_ = std::make_shared<tcp_callbacks>();
    schedule_linger_check(untaken_bytes(), 0);
    update_watch();
    if (output_.empty()) {
        after_sending(false);
    }
}

/// @return the number of bytes that the peer has not acknowledged, including those that the operating system holds.
std::size_t tcp_stream::untaken_bytes() const
{
    return unsent() + unacknowledged_bytes(descriptor_);
}

/// Closes the connection after the next interval if the peer has taken nothing for too long by then, or if it has taken
/// everything and had the interval to read the last bytes.
void tcp_stream::schedule_linger_check(std::size_t untaken_before, int stalled)
{
    // The timer keeps the stream alive after its owner has dropped it.
    linger_timer_ = loop_.schedule(
        linger_timeout, [self = shared_from_this(), untaken_before, stalled, was_handed_over = output_.empty()] {
            self->linger_timer_.reset();
            const std::size_t untaken = self->untaken_bytes();
            const int now_stalled = untaken < untaken_before ? 0 : stalled + 1;
            if ((untaken == 0 && was_handed_over) || now_stalled >= max_stalled_lingers) {
                self->close();
                return;
            }
            self->schedule_linger_check(untaken, now_stalled);
        });
}

} // namespace agatespar
