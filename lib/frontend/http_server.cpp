// An HTTP server based on libsoup, with limits on the size of requests and on unread response data.
#include "held_bytes.h"
#include "request_framing.h"
#include "soup_exchange.h"

#include <agatespar/frontend/http_server.h>
#include <agatespar/http/connection_limit.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/telemetry/log.h>

#include <libsoup/soup.h>

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace agatespar {

// A refused caller may try again after this time: bodies and answers of ordinary callers are held for less.
static constexpr std::chrono::seconds retry_delay{1};
// Minimum time between two log lines about the limits that all callers share.
static constexpr std::chrono::seconds limit_log_interval{10};

namespace {

/// The received part of a request that is not complete yet.
struct incoming_request {
    std::string body;
    byte_reservation body_held;
    std::shared_ptr<unread_answer> answer;
    /// When the connection was accepted, or its previous answer ended.
    steady_time since;
    bool has_head{false};
    /// Its connection has been closed in favour of another one, or without having been read.
    bool is_closed{false};
    bool too_large{false};
    /// There was no room for its body; it is refused, and the rest of its body is read and discarded.
    bool without_room{false};
    /// Its head does not tell where it ends; it is refused and must not be passed on.
    bool undelimited{false};
    timer_id timeout{0};

    explicit incoming_request(const std::shared_ptr<held_bytes>& held)
        : body_held(held), answer(std::make_shared<unread_answer>(unread_answer{byte_reservation{held}}))
    {
    }
};

} // namespace

struct http_server::impl {
    event_loop& loop;
    http_server_settings settings;
    exchange_handler handler;
    SoupServer* server{nullptr};
    std::string address;
    http_server_counters counters;
    std::unordered_map<SoupServerMessage*, incoming_request> incoming;
    std::shared_ptr<held_bytes> held;
    std::size_t closed_connections{0};
    std::optional<steady_time> limit_logged_at;

    impl(event_loop& event_loop, http_server_settings initial, exchange_handler on_request)
        : loop(event_loop), settings(std::move(initial)), handler(std::move(on_request)),
          held(std::make_shared<held_bytes>(held_bytes{settings.max_held_bytes}))
    {
    }

    outcome<void> listen();
    outcome<void> load_certificate();
    void start_request(SoupServerMessage* message);
    bool make_room(SoupServerMessage* message);
    void log_limit_reached();
    void close_connection(SoupServerMessage* message);
    void check_room(SoupServerMessage* message, std::size_t body_bytes);
    bool hold_body(SoupServerMessage* message, incoming_request& request, std::size_t needed);
    void refuse_without_room(SoupServerMessage* message);
    void disconnect_slow_request(SoupServerMessage* message);
    void answer(SoupServerMessage* message);
    void forget(SoupServerMessage* message);

    static void handle_started(SoupServer* /*server*/, SoupServerMessage* message, gpointer data)
    {
        static_cast<impl*>(data)->start_request(message);
    }
    static void handle_freed(gpointer data, GObject* message)
    {
        static_cast<impl*>(data)->forget(reinterpret_cast<SoupServerMessage*>(message));
    }
    static void handle_got_headers(SoupServerMessage* message, gpointer data);
    static void handle_got_chunk(SoupServerMessage* message, GBytes* chunk, gpointer data);
    static void handle_got_body(SoupServerMessage* message, gpointer data);
    static void handle_wrote_data(SoupServerMessage* message, guint size, gpointer data);
    static void handle_finished(SoupServerMessage* message, gpointer data);
    static void handle_request(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/,
                               GHashTable* /*query*/, gpointer data)
    {
        static_cast<impl*>(data)->answer(message);
    }
};

/// @return the body of an answer with an error. @param retry_after_ms milliseconds, or "null".
static std::string error_body(const std::string& code, const std::string& text, const std::string& retry_after_ms)
{
    return R"({"error":{"code":")" + code + R"(","message":")" + text + R"(","ran":"not_run","retry_after_ms":)" +
           retry_after_ms + R"(,"request_id":null}})" + "\n";
}

static void refuse(SoupServerMessage* message, int status, const char* code, const char* text,
                   const std::string& retry_after_ms = "null")
{
    const std::string body = error_body(code, text, retry_after_ms);
    soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
    soup_message_headers_append(soup_server_message_get_response_headers(message), "Connection", "close");
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(), body.size());
}

static std::string delay_ms_text()
{
    return std::to_string(std::chrono::milliseconds{retry_delay}.count());
}

static tl::unexpected<error> glib_failure(error_code code, const std::string& action, GError* problem)
{
    std::string message = action + ": " + problem->message;
    g_error_free(problem);
    return failure(code, std::move(message));
}

static GSocketAddress* parse_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return nullptr;
    }
    const std::string ip = text.substr(0, colon);
    const int port = std::atoi(text.c_str() + colon + 1);
    if (port < 0 || port > UINT16_MAX) {
        return nullptr;
    }
    return g_inet_socket_address_new_from_string(ip.c_str(), static_cast<guint>(port));
}

outcome<void> http_server::impl::load_certificate()
{
    if (settings.tls_certificate_file.empty()) {
        return {};
    }
    GError* problem = nullptr;
    GTlsCertificate* certificate = g_tls_certificate_new_from_files(settings.tls_certificate_file.c_str(),
                                                                    settings.tls_key_file.c_str(), &problem);
    if (certificate == nullptr) {
        return glib_failure(error_code::invalid_argument, "cannot load the TLS certificate", problem);
    }
    soup_server_set_tls_certificate(server, certificate);
    g_object_unref(certificate);
    return {};
}

outcome<void> http_server::impl::listen()
{
    server = soup_server_new("server-header", "agatespar", nullptr);
    if (auto loaded = load_certificate(); !loaded) {
        return loaded;
    }
    GSocketAddress* socket_address = parse_address(settings.listen_address);
    if (socket_address == nullptr) {
        return failure(error_code::invalid_argument, "not an ip:port address: " + settings.listen_address);
    }
    const auto options = settings.tls_certificate_file.empty() ? SoupServerListenOptions{} : SOUP_SERVER_LISTEN_HTTPS;
    GError* problem = nullptr;
    const gboolean listening = soup_server_listen(server, socket_address, options, &problem);
    g_object_unref(socket_address);
    if (listening == FALSE) {
        return glib_failure(error_code::unavailable, "cannot listen on " + settings.listen_address, problem);
    }
    GSList* uris = soup_server_get_uris(server);
    auto* uri = static_cast<GUri*>(uris->data);
    address = std::string{g_uri_get_host(uri)} + ":" + std::to_string(g_uri_get_port(uri));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    g_signal_connect(server, "request-started", G_CALLBACK(&impl::handle_started), this);
    soup_server_add_handler(server, nullptr, &impl::handle_request, this, nullptr);
    return {};
}

void http_server::impl::start_request(SoupServerMessage* message)
{
    ++counters.open_connections;
    incoming_request& request = incoming.emplace(message, held).first->second;
    request.since = loop.time().now();
    request.timeout = loop.schedule(settings.request_timeout, [this, message] { disconnect_slow_request(message); });
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    // libsoup frees the message of a request whose head it refuses without the signal "finished".
    g_object_weak_ref(G_OBJECT(message), &impl::handle_freed, this);
    g_signal_connect(message, "got-headers", G_CALLBACK(&impl::handle_got_headers), this);
    g_signal_connect(message, "got-chunk", G_CALLBACK(&impl::handle_got_chunk), this);
    g_signal_connect(message, "got-body", G_CALLBACK(&impl::handle_got_body), this);
    g_signal_connect(message, "wrote-body-data", G_CALLBACK(&impl::handle_wrote_data), this);
    g_signal_connect(message, "finished", G_CALLBACK(&impl::handle_finished), this);
    if (!make_room(message)) {
        ++counters.over_connection_limit;
        close_connection(message);
        log_limit_reached();
    }
}

/// Closes the connections that have been idle longest until a new one is within the limit. @return whether it is.
bool http_server::impl::make_room(SoupServerMessage* message)
{
    while (incoming.size() - closed_connections > settings.max_connections) {
        std::vector<SoupServerMessage*> messages;
        std::vector<connection_state> states;
        for (const auto& [other, request] : incoming) {
            GSocket* socket = soup_server_message_get_socket(other);
            // libsoup does not tell whether a part of a head has arrived, so such a connection counts as idle.
            const bool is_idle = !request.has_head && !request.is_closed && other != message && socket != nullptr &&
                                 g_socket_get_available_bytes(socket) <= 0;
            messages.push_back(other);
            states.push_back({is_idle ? client_activity::idle : client_activity::in_request, request.since});
        }
        const auto chosen = choose_evicted(states, loop.time().now());
        if (!chosen) {
            return false;
        }
        ++counters.evicted_connections;
        close_connection(messages[*chosen]);
        log_limit_reached();
    }
    return true;
}

void http_server::impl::log_limit_reached()
{
    const steady_time now = loop.time().now();
    if (limit_logged_at && now - *limit_logged_at < limit_log_interval) {
        return;
    }
    limit_logged_at = now;
    log_event(log_severity::warning, "client_limit_reached",
              {{"held_bytes", std::uint64_t{held->held}},
               {"refused_requests", counters.without_room},
               {"refused_connections", counters.over_connection_limit},
               {"evicted_connections", counters.evicted_connections}});
}

/// libsoup notices the end of the connection in the next iteration of the loop.
void http_server::impl::close_connection(SoupServerMessage* message)
{
    incoming.at(message).is_closed = true;
    ++closed_connections;
    if (GSocket* socket = soup_server_message_get_socket(message); socket != nullptr) {
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
}

void http_server::impl::disconnect_slow_request(SoupServerMessage* message)
{
    ++counters.timed_out;
    if (GSocket* socket = soup_server_message_get_socket(message); socket != nullptr) {
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
}

void http_server::impl::handle_got_headers(SoupServerMessage* message, gpointer data)
{
    auto* self = static_cast<impl*>(data);
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    incoming_request& request = self->incoming.at(message);
    request.has_head = true;
    if (!is_delimited(message)) {
        ++self->counters.undelimited;
        request.undelimited = true;
        refuse_undelimited(message);
        return;
    }
    if (lacks_length(message)) {
        // What follows may be a body and must not be read as the next request.
        soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection", "close");
    }
    const bool has_length = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH;
    const goffset length = has_length ? soup_message_headers_get_content_length(headers) : 0;
    if (length > static_cast<goffset>(self->settings.max_body_bytes)) {
        request.too_large = true;
        return;
    }
    const bool has_chunks = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CHUNKED;
    if (length > 0 || has_chunks) {
        self->check_room(message, std::max<std::size_t>(static_cast<std::size_t>(length), 1));
    }
}

/// Refuses a request for whose body there is no room, before the body is read.
void http_server::impl::check_room(SoupServerMessage* message, std::size_t body_bytes)
{
    if (!held->has_room(body_bytes, body_bytes)) {
        refuse_without_room(message);
    }
}

/// Makes room for a body of the needed size. @return whether there was room.
bool http_server::impl::hold_body(SoupServerMessage* message, incoming_request& request, std::size_t needed)
{
    if (needed <= request.body_held.bytes()) {
        return true;
    }
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    const bool has_length = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH;
    const std::size_t expected = has_length ? static_cast<std::size_t>(soup_message_headers_get_content_length(headers))
                                            : settings.max_body_bytes;
    // The capacity doubles, so that a body in many pieces is copied a few times only, but not beyond its length.
    const std::size_t doubled = std::min(std::max(needed, 2 * request.body_held.bytes()), std::max(expected, needed));
    if (!request.body_held.grow_to(doubled, needed) && !request.body_held.grow_to(needed, needed)) {
        return false;
    }
    request.body.reserve(request.body_held.bytes());
    return true;
}

void http_server::impl::handle_got_chunk(SoupServerMessage* message, GBytes* chunk, gpointer data)
{
    auto* self = static_cast<impl*>(data);
    incoming_request& request = self->incoming.at(message);
    if (request.without_room) {
        return;
    }
    gsize size = 0;
    const auto* bytes = static_cast<const char*>(g_bytes_get_data(chunk, &size));
    if (request.too_large || request.body.size() + size > self->settings.max_body_bytes) {
        request.too_large = true;
        request.body.clear();
        request.body.shrink_to_fit();
        request.body_held.set(0);
        return;
    }
    if (!self->hold_body(message, request, request.body.size() + size)) {
        self->refuse_without_room(message);
        return;
    }
    request.body.append(bytes, size);
}

void http_server::impl::handle_wrote_data(SoupServerMessage* message, guint size, gpointer data)
{
    auto* self = static_cast<impl*>(data);
    const auto found = self->incoming.find(message);
    if (found == self->incoming.end()) {
        return;
    }
    unread_answer& answer = *found->second.answer;
    // A complete answer is freed as a whole.
    if (answer.in_pieces) {
        answer.held.set(answer.held.bytes() - std::min<std::size_t>(answer.held.bytes(), size));
    }
}

void http_server::impl::handle_got_body(SoupServerMessage* message, gpointer data)
{
    auto* self = static_cast<impl*>(data);
    self->loop.cancel(self->incoming.at(message).timeout);
}

void http_server::impl::handle_finished(SoupServerMessage* message, gpointer data)
{
    auto* self = static_cast<impl*>(data);
    if (self->incoming.contains(message)) {
        g_object_weak_unref(G_OBJECT(message), &impl::handle_freed, self);
        self->forget(message);
    }
}

/// Drops all that is kept of a request whose message ends or is being freed.
void http_server::impl::forget(SoupServerMessage* message)
{
    const auto found = incoming.find(message);
    if (found == incoming.end()) {
        return;
    }
    loop.cancel(found->second.timeout);
    closed_connections -= found->second.is_closed ? 1 : 0;
    incoming.erase(found);
    --counters.open_connections;
}

void http_server::impl::refuse_without_room(SoupServerMessage* message)
{
    incoming_request& request = incoming.at(message);
    ++counters.without_room;
    log_limit_reached();
    request.without_room = true;
    request.body.clear();
    request.body.shrink_to_fit();
    request.body_held.set(0);
    // The bytes of an encrypted connection belong to its library, so its caller gets the answer after the body.
    if (settings.tls_certificate_file.empty()) {
        const std::string body = error_body("overloaded", "too many requests are held", delay_ms_text());
        send_early(message, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: " +
                                std::to_string(retry_delay.count()) + "\r\nConnection: close\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body);
    }
}

void http_server::impl::answer(SoupServerMessage* message)
{
    ++counters.requests;
    incoming_request& request = incoming.at(message);
    if (request.undelimited) {
        refuse(message, SOUP_STATUS_BAD_REQUEST, "malformed", "the request can't be delimited");
        return;
    }
    if (request.too_large) {
        ++counters.too_large;
        refuse(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, "too_large", "the request body is too large");
        return;
    }
    if (request.without_room) {
        soup_message_headers_replace(soup_server_message_get_response_headers(message), "Retry-After",
                                     std::to_string(retry_delay.count()).c_str());
        refuse(message, SOUP_STATUS_SERVICE_UNAVAILABLE, "overloaded", "too many requests are held", delay_ms_text());
        return;
    }
    soup_server_message_pause(message);
    handler(std::make_shared<soup_exchange>(message, std::move(request.body), std::move(request.body_held),
                                            request.answer, settings.max_unsent_bytes, counters));
}

outcome<std::unique_ptr<http_server>> http_server::open(event_loop& loop, const http_server_settings& settings,
                                                        exchange_handler handler)
{
    auto state = std::make_unique<impl>(loop, settings, std::move(handler));
    auto result = std::unique_ptr<http_server>{new http_server{std::move(state)}};
    if (auto listening = result->impl_->listen(); !listening) {
        return tl::make_unexpected(std::move(listening).error());
    }
    return result;
}

http_server::http_server(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

http_server::~http_server()
{
    // Disconnecting finishes the open messages, whose signal handlers use the members of this object.
    soup_server_disconnect(impl_->server);
    for (const auto& [message, request] : impl_->incoming) {
        impl_->loop.cancel(request.timeout);
        g_object_weak_unref(G_OBJECT(message), &impl::handle_freed, impl_.get());
        g_signal_handlers_disconnect_by_data(message, impl_.get());
    }
    g_object_unref(impl_->server);
}

const std::string& http_server::address() const
{
    return impl_->address;
}

std::size_t http_server::held() const
{
    return impl_->held->held;
}

const http_server_counters& http_server::counters() const
{
    return impl_->counters;
}

} // namespace agatespar
