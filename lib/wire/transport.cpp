// Transport of frames over nng: one pull socket that receives, and one push socket for each peer in use.
#include <agatespar/kernel/glib_event_loop.h>
#include <agatespar/wire/transport.h>

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <array>
#include <unordered_map>

namespace agatespar {

// Maximum queued frames for a peer that is slow or not connected yet.
static constexpr int peer_queue_length = 256;
// Maximum received frames that wait for the event loop.
static constexpr int receive_queue_length = 1024;
static constexpr nng_duration reconnect_min_ms = 50;
static constexpr nng_duration reconnect_max_ms = 1000;
// Maximum frames that one iteration of the event loop handles, so that its other sources are not starved.
static constexpr int max_frames_per_iteration = 128;
static constexpr std::chrono::seconds idle_check_interval{15};
static constexpr std::chrono::seconds idle_timeout{60};
static constexpr std::size_t kind_count = 256;

namespace {

/// The sending side of the connection to one address.
struct peer {
    nng_socket socket;
    steady_time last_used;
};

} // namespace

struct transport::impl {
    glib_event_loop& loop;
    transport_settings settings;
    std::string address;
    nng_socket receiver{};
    std::unordered_map<std::string, peer> peers;
    // One sequence for all peers, so that it stays ascending for a peer whose idle connection is closed and reopened.
    std::uint64_t next_sequence{1};
    replay_guard guard;
    frame_handler handler;
    transport_counters total;
    std::array<transport_counters, kind_count> by_kind{};
    timer_id idle_timer;
    watch_id receive_watch;

    impl(glib_event_loop& event_loop, transport_settings initial) : loop(event_loop), settings(std::move(initial)) {}

    outcome<void> listen();
    void receive_pending();
    void receive(std::string_view bytes);
    peer* find_or_dial(const std::string& peer_address);
    void close_idle_peers();
};

static tl::unexpected<error> nng_failure(const std::string& action, int code)
{
    return failure(error_code::unavailable, action + ": " + nng_strerror(code));
}

static std::string port_of(nng_listener listener)
{
    int port = 0;
    nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    return std::to_string(port);
}

outcome<void> transport::impl::listen()
{
    if (const int code = nng_pull0_open(&receiver); code != 0) {
        return nng_failure("cannot open a receiving socket", code);
    }
    nng_socket_set_int(receiver, NNG_OPT_RECVBUF, receive_queue_length);
    nng_socket_set_size(receiver, NNG_OPT_RECVMAXSZ, max_frame_bytes);
    nng_listener listener{};
    const std::string url = "tcp://" + settings.listen_address;
    if (const int code = nng_listen(receiver, url.c_str(), &listener, 0); code != 0) {
        return nng_failure("cannot listen on " + settings.listen_address, code);
    }
    const std::size_t colon = settings.listen_address.rfind(':');
    address = settings.listen_address.substr(0, colon) + ":" + port_of(listener);
    int descriptor = -1;
    if (const int code = nng_socket_get_int(receiver, NNG_OPT_RECVFD, &descriptor); code != 0) {
        return nng_failure("cannot watch the receiving socket", code);
    }
    receive_watch = loop.watch_readable(descriptor, [this] { receive_pending(); });
    idle_timer = loop.schedule(idle_check_interval, [this] { close_idle_peers(); });
    return {};
}

void transport::impl::receive_pending()
{
    for (int i = 0; i < max_frames_per_iteration; ++i) {
        char* data = nullptr;
        std::size_t size = 0;
        if (nng_recv(receiver, &data, &size, NNG_FLAG_NONBLOCK | NNG_FLAG_ALLOC) != 0) {
            return;
        }
        receive({data, size});
        nng_free(data, size);
    }
}

void transport::impl::receive(std::string_view bytes)
{
    const auto opened = open_frame(bytes, settings.key);
    if (!opened) {
        ++total.frames_refused;
        return;
    }
    if (!guard.accept(*opened, loop.time().wall_now())) {
        ++total.frames_replayed;
        return;
    }
    transport_counters& kind = by_kind[static_cast<std::uint8_t>(opened->kind)];
    ++total.frames_received;
    ++kind.frames_received;
    total.bytes_received += bytes.size();
    kind.bytes_received += bytes.size();
    if (handler) {
        handler(*opened);
    }
}

peer* transport::impl::find_or_dial(const std::string& peer_address)
{
    const auto found = peers.find(peer_address);
    if (found != peers.end()) {
        return &found->second;
    }
    nng_socket socket{};
    if (nng_push0_open(&socket) != 0) {
        return nullptr;
    }
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, peer_queue_length);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, reconnect_min_ms);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, reconnect_max_ms);
    const std::string url = "tcp://" + peer_address;
    if (nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
        nng_close(socket);
        return nullptr;
    }
    return &peers.emplace(peer_address, peer{socket, loop.time().now()}).first->second;
}

void transport::impl::close_idle_peers()
{
    const steady_time now = loop.time().now();
    for (auto entry = peers.begin(); entry != peers.end();) {
        if (entry->second.last_used + idle_timeout >= now) {
            ++entry;
            continue;
        }
        nng_close(entry->second.socket);
        entry = peers.erase(entry);
    }
    idle_timer = loop.schedule(idle_check_interval, [this] { close_idle_peers(); });
}

outcome<std::unique_ptr<transport>> transport::open(glib_event_loop& loop, const transport_settings& settings)
{
    auto state = std::make_unique<impl>(loop, settings);
    if (auto listening = state->listen(); !listening) {
        return tl::make_unexpected(std::move(listening).error());
    }
    return std::unique_ptr<transport>{new transport{std::move(state)}};
}

transport::transport(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

transport::~transport()
{
    impl_->loop.cancel(impl_->idle_timer);
    impl_->loop.unwatch(impl_->receive_watch);
    for (const auto& [address, peer] : impl_->peers) {
        nng_close(peer.socket);
    }
    nng_close(impl_->receiver);
}

const std::string& transport::address() const
{
    return impl_->address;
}

boot_id transport::self() const
{
    return impl_->settings.self;
}

void transport::set_handler(frame_handler handler)
{
    impl_->handler = std::move(handler);
}

bool transport::send(const std::string& address, message_kind kind, std::string payload)
{
    transport_counters& by_kind = impl_->by_kind[static_cast<std::uint8_t>(kind)];
    peer* target = impl_->find_or_dial(address);
    if (target == nullptr) {
        ++impl_->total.frames_dropped;
        ++by_kind.frames_dropped;
        return false;
    }
    const clock& time = impl_->loop.time();
    target->last_used = time.now();
    const frame content{impl_->settings.self, impl_->address, impl_->next_sequence++,
                        time.wall_now(),      kind,           std::move(payload)};
    std::string sealed = seal_frame(content, impl_->settings.key);
    if (sealed.size() > max_frame_bytes ||
        nng_send(target->socket, sealed.data(), sealed.size(), NNG_FLAG_NONBLOCK) != 0) {
        ++impl_->total.frames_dropped;
        ++by_kind.frames_dropped;
        return false;
    }
    ++impl_->total.frames_sent;
    ++by_kind.frames_sent;
    impl_->total.bytes_sent += sealed.size();
    by_kind.bytes_sent += sealed.size();
    return true;
}

void transport::forget(const std::string& address)
{
    if (const auto found = impl_->peers.find(address); found != impl_->peers.end()) {
        nng_close(found->second.socket);
        impl_->peers.erase(found);
    }
}

const transport_counters& transport::counters() const
{
    return impl_->total;
}

const transport_counters& transport::counters_of(message_kind kind) const
{
    return impl_->by_kind[static_cast<std::uint8_t>(kind)];
}

} // namespace agatespar
