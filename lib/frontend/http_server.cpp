// An HTTP server based on libsoup, with limits on the size of requests and on unread response data.
#include "request_framing.h"

#include <agatespar/frontend/http_server.h>
#include <agatespar/kernel/event_loop.h>

#include <libsoup/soup.h>

#include <cassert>
#include <unordered_map>

namespace agatespar {

// RFC 6585, section 4. libsoup does not define this status.
static constexpr int status_too_many_requests = 429;

namespace {

/// The response side of one libsoup message.
class soup_exchange final : public http_exchange {
public:
    soup_exchange(SoupServerMessage* message, std::string body, std::size_t max_unsent, http_server_counters& counters)
        : message_(SOUP_SERVER_MESSAGE(g_object_ref(message))), method_(soup_server_message_get_method(message)),
          path_(g_uri_get_path(soup_server_message_get_uri(message))), body_(std::move(body)), max_unsent_(max_unsent),
          counters_(counters),
          finished_signal_(g_signal_connect(message_, "finished", G_CALLBACK(&soup_exchange::handle_finished), this)),
          wrote_signal_(
              g_signal_connect(message_, "wrote-body-data", G_CALLBACK(&soup_exchange::handle_wrote_data), this))
    {
    }
    soup_exchange(const soup_exchange&) = delete;
    soup_exchange& operator=(const soup_exchange&) = delete;
    ~soup_exchange() override
    {
        g_signal_handler_disconnect(message_, finished_signal_);
        g_signal_handler_disconnect(message_, wrote_signal_);
        if (!answered_ && !disconnected_) {
            abort();
        }
        g_object_unref(message_);
    }

    const std::string& method() const override { return method_; }
    const std::string& path() const override { return path_; }
    const std::string& body() const override { return body_; }

    std::optional<std::string> header(const char* name) const override
    {
        const char* value = soup_message_headers_get_list(soup_server_message_get_request_headers(message_), name);
        return value == nullptr ? std::nullopt : std::optional<std::string>{value};
    }

    void set_header(const char* name, const std::string& value) override
    {
        soup_message_headers_replace(response_headers(), name, value.c_str());
    }

    void respond(int status, const char* content_type, std::string body) override
    {
        if (disconnected_) {
            return;
        }
        assert(!answered_ && "an exchange is answered once");
        answered_ = true;
        soup_server_message_set_status(message_, static_cast<guint>(status), nullptr);
        soup_server_message_set_response(message_, content_type, SOUP_MEMORY_COPY, body.data(), body.size());
        soup_server_message_unpause(message_);
    }

    void start_stream(int status, const char* content_type) override
    {
        if (disconnected_) {
            return;
        }
        soup_server_message_set_status(message_, static_cast<guint>(status), nullptr);
        soup_message_headers_set_content_type(response_headers(), content_type, nullptr);
        soup_message_headers_set_encoding(response_headers(), SOUP_ENCODING_CHUNKED);
        soup_message_body_set_accumulate(response_body(), FALSE);
        soup_server_message_unpause(message_);
    }

    void write(std::string piece) override
    {
        if (disconnected_ || piece.empty()) {
            return;
        }
        unsent_ += piece.size();
        if (unsent_ > max_unsent_) {
            ++counters_.slow_readers_disconnected;
            abort();
            return;
        }
        soup_message_body_append(response_body(), SOUP_MEMORY_COPY, piece.data(), piece.size());
        soup_server_message_unpause(message_);
    }

    void finish_stream() override
    {
        if (disconnected_) {
            return;
        }
        answered_ = true;
        soup_message_body_complete(response_body());
        soup_server_message_unpause(message_);
    }

    void abort() override
    {
        if (disconnected_) {
            return;
        }
        answered_ = true;
        if (GSocket* socket = soup_server_message_get_socket(message_); socket != nullptr) {
            g_socket_shutdown(socket, TRUE, TRUE, nullptr);
        }
        soup_server_message_unpause(message_);
    }

    void on_disconnect(std::function<void()> callback) override { disconnect_callback_ = std::move(callback); }

private:
    SoupMessageHeaders* response_headers() { return soup_server_message_get_response_headers(message_); }
    SoupMessageBody* response_body() { return soup_server_message_get_response_body(message_); }

    static void handle_finished(SoupServerMessage* /*message*/, gpointer data)
    {
        auto* self = static_cast<soup_exchange*>(data);
        self->disconnected_ = true;
        // Moved out first, since the callback may release the last reference to this exchange.
        const auto callback = std::move(self->disconnect_callback_);
        if (callback && !self->answered_) {
            callback();
        }
    }
    static void handle_wrote_data(SoupServerMessage* /*message*/, guint size, gpointer data)
    {
        auto* self = static_cast<soup_exchange*>(data);
        self->unsent_ -= std::min<std::size_t>(self->unsent_, size);
    }

    SoupServerMessage* message_;
    std::string method_;
    std::string path_;
    std::string body_;
    std::size_t max_unsent_;
    http_server_counters& counters_;
    std::size_t unsent_{0};
    bool answered_{false};
    bool disconnected_{false};
    gulong finished_signal_;
    gulong wrote_signal_;
    std::function<void()> disconnect_callback_;
};

/// The received part of a request that is not complete yet.
struct incoming_request {
    std::string body;
    bool too_large{false};
    /// Its head does not tell where it ends; it is refused and must not be passed on.
    bool undelimited{false};
    timer_id timeout;
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

    impl(event_loop& event_loop, http_server_settings initial, exchange_handler on_request)
        : loop(event_loop), settings(std::move(initial)), handler(std::move(on_request))
    {
    }

    outcome<void> listen();
    outcome<void> load_certificate();
    void start_request(SoupServerMessage* message);
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
    static void handle_finished(SoupServerMessage* message, gpointer data);
    static void handle_request(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/,
                               GHashTable* /*query*/, gpointer data)
    {
        static_cast<impl*>(data)->answer(message);
    }
};

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
    incoming_request& request = incoming[message];
    request.timeout = loop.schedule(settings.request_timeout, [this, message] { disconnect_slow_request(message); });
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    // libsoup frees the message of a request whose head it refuses without the signal "finished".
    g_object_weak_ref(G_OBJECT(message), &impl::handle_freed, this);
    g_signal_connect(message, "got-headers", G_CALLBACK(&impl::handle_got_headers), this);
    g_signal_connect(message, "got-chunk", G_CALLBACK(&impl::handle_got_chunk), this);
    g_signal_connect(message, "got-body", G_CALLBACK(&impl::handle_got_body), this);
    g_signal_connect(message, "finished", G_CALLBACK(&impl::handle_finished), this);
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
    if (!is_delimited(message)) {
        ++self->counters.undelimited;
        self->incoming[message].undelimited = true;
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
        self->incoming[message].too_large = true;
    }
}

void http_server::impl::handle_got_chunk(SoupServerMessage* message, GBytes* chunk, gpointer data)
{
    auto* self = static_cast<impl*>(data);
    incoming_request& request = self->incoming[message];
    gsize size = 0;
    const auto* bytes = static_cast<const char*>(g_bytes_get_data(chunk, &size));
    if (request.too_large || request.body.size() + size > self->settings.max_body_bytes) {
        request.too_large = true;
        request.body.clear();
        request.body.shrink_to_fit();
        return;
    }
    request.body.append(bytes, size);
}

void http_server::impl::handle_got_body(SoupServerMessage* message, gpointer data)
{
    auto* self = static_cast<impl*>(data);
    self->loop.cancel(self->incoming[message].timeout);
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
    incoming.erase(found);
    --counters.open_connections;
}

static void refuse(SoupServerMessage* message, int status, const char* code, const char* text)
{
    const std::string body = std::string{R"({"error":{"code":")"} + code + R"(","message":")" + text +
                             R"(","ran":"not_run","retry_after_ms":null,"request_id":null}})" + "\n";
    soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
    soup_message_headers_append(soup_server_message_get_response_headers(message), "Connection", "close");
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(), body.size());
}

void http_server::impl::answer(SoupServerMessage* message)
{
    ++counters.requests;
    incoming_request& request = incoming[message];
    if (request.undelimited) {
        refuse(message, SOUP_STATUS_BAD_REQUEST, "malformed", "the request can't be delimited");
        return;
    }
    if (request.too_large) {
        ++counters.too_large;
        refuse(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, "too_large", "the request body is too large");
        return;
    }
    if (counters.open_connections > settings.max_connections) {
        ++counters.over_connection_limit;
        refuse(message, status_too_many_requests, "overloaded", "too many connections");
        return;
    }
    soup_server_message_pause(message);
    handler(std::make_shared<soup_exchange>(message, std::move(request.body), settings.max_unsent_bytes, counters));
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

const http_server_counters& http_server::counters() const
{
    return impl_->counters;
}

} // namespace agatespar
