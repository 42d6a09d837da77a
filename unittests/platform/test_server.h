// HTTP servers for the tests of the HTTP clients: one with planned answers, and one that sends raw bytes.
#pragma once

#include <agatespar/kernel/glib_event_loop.h>
#include <agatespar/platform/http_client.h>

#include <gio/gio.h>
#include <libsoup/soup.h>
#include <sys/socket.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatespar::test {

/// A request that a server received.
struct received_request {
    std::string method;
    /// Percent-decoded; for the bytes as sent, see `raw_server::received`.
    std::string path;
    std::string query;
    std::vector<http_header> headers;
    std::string body;

    std::string header(std::string_view name) const { return std::string{http_head{0, headers}.find_header(name)}; }
};

struct planned_answer {
    int status{200};
    std::vector<http_header> headers;
    std::string body;
    std::string content_type{"application/json"};
};

/// Serves HTTP on a free port of the loopback interface and answers each request with the result of a function.
class answering_server {
public:
    explicit answering_server(std::function<planned_answer(const received_request&)> answer)
        : answer_(std::move(answer)), server_(soup_server_new(nullptr, nullptr))
    {
        soup_server_add_handler(server_, nullptr, &answering_server::handle, this, nullptr);
        soup_server_listen_local(server_, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr);
    }
    answering_server(const answering_server&) = delete;
    answering_server& operator=(const answering_server&) = delete;
    ~answering_server()
    {
        soup_server_disconnect(server_);
        g_object_unref(server_);
    }

    std::string url() const
    {
        GSList* uris = soup_server_get_uris(server_);
        const int port = g_uri_get_port(static_cast<GUri*>(uris->data));
        g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(&g_uri_unref));
        return "http://127.0.0.1:" + std::to_string(port);
    }

    std::vector<received_request> requests;

private:
    static void add_header(const char* name, const char* value, gpointer data)
    {
        static_cast<received_request*>(data)->headers.push_back({name, value});
    }
    static void handle(SoupServer* /*server*/, SoupServerMessage* message, const char* path, GHashTable* /*query*/,
                       gpointer data)
    {
        auto* self = static_cast<answering_server*>(data);
        received_request request;
        request.method = soup_server_message_get_method(message);
        request.path = path;
        const char* query = g_uri_get_query(soup_server_message_get_uri(message));
        request.query = query != nullptr ? query : "";
        soup_message_headers_foreach(soup_server_message_get_request_headers(message), &add_header, &request);
        const SoupMessageBody* body = soup_server_message_get_request_body(message);
        request.body.assign(body->data != nullptr ? body->data : "", static_cast<std::size_t>(body->length));
        self->requests.push_back(request);
        const planned_answer answer = self->answer_(request);
        for (const http_header& header : answer.headers) {
            soup_message_headers_append(soup_server_message_get_response_headers(message), header.name.c_str(),
                                        header.value.c_str());
        }
        soup_server_message_set_status(message, static_cast<guint>(answer.status), nullptr);
        soup_server_message_set_response(message, answer.content_type.c_str(), SOUP_MEMORY_COPY, answer.body.data(),
                                         answer.body.size());
    }

    std::function<planned_answer(const received_request&)> answer_;
    SoupServer* server_;
};

/// Sends fixed bytes on each connection once the first bytes of a request have arrived, over TLS if it has a
/// certificate.
class raw_server {
public:
    /// What happens to the connection then: it is closed or reset, left open, serves more requests in the same way, or
    /// is closed when the next request arrives. `cut` closes it without the end that TLS requires, `end_sending` only
    /// the server's side of it.
    enum class after_answer { close, cut, end_sending, reset, hang, serve, drop_next };

    raw_server(std::string bytes, after_answer what, GTlsCertificate* certificate = nullptr)
        : bytes_(std::move(bytes)), after_answer_(what), certificate_(certificate), service_(g_socket_service_new())
    {
        port_ = g_socket_listener_add_any_inet_port(G_SOCKET_LISTENER(service_), nullptr, nullptr);
        g_signal_connect(service_, "incoming", G_CALLBACK(&raw_server::accept), this);
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    ~raw_server()
    {
        g_cancellable_cancel(cancellable_);
        g_clear_object(&cancellable_);
        g_socket_service_stop(service_);
        g_socket_listener_close(G_SOCKET_LISTENER(service_));
        for (const auto& open : connections_) {
            g_clear_object(&open->stream);
            g_clear_object(&open->socket);
        }
        g_object_unref(service_);
    }

    std::string url() const
    {
        return (certificate_ == nullptr ? "http" : "https") + std::string{"://127.0.0.1:"} + std::to_string(port_);
    }

    int connections{0};
    /// The first bytes of the last request.
    std::string received;

private:
    struct open_connection {
        raw_server* server;
        GSocketConnection* socket;
        /// The socket's stream, or that of TLS over it.
        GIOStream* stream;
        int answers{0};
    };

    static gboolean accept(GSocketService* /*service*/, GSocketConnection* socket, GObject* /*source*/, gpointer data)
    {
        auto* self = static_cast<raw_server*>(data);
        ++self->connections;
        GIOStream* stream = G_IO_STREAM(g_object_ref(socket));
        if (self->certificate_ != nullptr) {
            g_clear_object(&stream);
            stream = g_tls_server_connection_new(G_IO_STREAM(socket), self->certificate_, nullptr);
        }
        self->connections_.push_back(std::make_unique<open_connection>(
            open_connection{self, static_cast<GSocketConnection*>(g_object_ref(socket)), stream}));
        read_request(*self->connections_.back());
        return TRUE;
    }
    static void read_request(open_connection& connection)
    {
        g_input_stream_read_bytes_async(g_io_stream_get_input_stream(connection.stream), 4096, G_PRIORITY_DEFAULT,
                                        connection.server->cancellable_, &raw_server::answer, &connection);
    }
    static void answer(GObject* source, GAsyncResult* result, gpointer data)
    {
        GBytes* request = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, nullptr);
        if (request == nullptr) {
            // Also after the destructor.
            return;
        }
        auto& connection = *static_cast<open_connection*>(data);
        raw_server& self = *connection.server;
        gsize size = 0;
        const auto* bytes = static_cast<const char*>(g_bytes_get_data(request, &size));
        self.received.assign(bytes, size);
        g_bytes_unref(request);
        if (size == 0) {
            return;
        }
        if (self.after_answer_ != after_answer::drop_next || connection.answers == 0) {
            GOutputStream* output = g_io_stream_get_output_stream(connection.stream);
            g_output_stream_write_all(output, self.bytes_.data(), self.bytes_.size(), nullptr, nullptr, nullptr);
        }
        self.finish_answer(connection);
    }
    void finish_answer(open_connection& connection)
    {
        ++connection.answers;
        const bool drops = after_answer_ == after_answer::drop_next;
        if (after_answer_ == after_answer::serve || (drops && connection.answers == 1)) {
            read_request(connection);
            return;
        }
        if (after_answer_ == after_answer::reset) {
            const linger at_once{1, 0};
            setsockopt(g_socket_get_fd(g_socket_connection_get_socket(connection.socket)), SOL_SOCKET, SO_LINGER,
                       &at_once, sizeof at_once);
        }
        if (after_answer_ == after_answer::cut || after_answer_ == after_answer::reset) {
            g_socket_close(g_socket_connection_get_socket(connection.socket), nullptr);
        }
        else if (after_answer_ == after_answer::end_sending) {
            g_socket_shutdown(g_socket_connection_get_socket(connection.socket), FALSE, TRUE, nullptr);
        }
        else if (after_answer_ != after_answer::hang) {
            g_io_stream_close(connection.stream, nullptr, nullptr);
        }
    }

    std::string bytes_;
    after_answer after_answer_;
    GTlsCertificate* certificate_;
    GSocketService* service_;
    GCancellable* cancellable_{g_cancellable_new()};
    std::uint16_t port_{0};
    std::vector<std::unique_ptr<open_connection>> connections_;
};

/// Runs the default main context until a condition holds.
inline void run_until(const std::function<bool()>& holds)
{
    while (!holds()) {
        g_main_context_iteration(nullptr, TRUE);
    }
}

/// Runs the loop until a call has a result. @param start starts the call with the given callback. @return the result.
template <class Result>
outcome<Result> wait_for(const std::function<void(std::function<void(outcome<Result>)>)>& start)
{
    std::optional<outcome<Result>> result;
    start([&result](outcome<Result> value) { result = std::move(value); });
    run_until([&result] { return result.has_value(); });
    return *result;
}

} // namespace agatespar::test
