// HTTP servers for the tests of the HTTP clients: one with planned answers, and one that sends raw bytes.
#pragma once

#include <agatespar/kernel/glib_event_loop.h>
#include <agatespar/platform/http_client.h>

#include <gio/gio.h>
#include <libsoup/soup.h>

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

/// Sends fixed bytes on each connection once the first bytes of the request have arrived, and closes the connection or
/// leaves it open.
class raw_server {
public:
    enum class after_answer { close, hang };

    raw_server(std::string bytes, after_answer what)
        : bytes_(std::move(bytes)), after_answer_(what), service_(g_socket_service_new())
    {
        port_ = g_socket_listener_add_any_inet_port(G_SOCKET_LISTENER(service_), nullptr, nullptr);
        g_signal_connect(service_, "incoming", G_CALLBACK(&raw_server::accept), this);
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    ~raw_server()
    {
        g_socket_service_stop(service_);
        g_socket_listener_close(G_SOCKET_LISTENER(service_));
        for (GSocketConnection* connection : connections_) {
            g_object_unref(connection);
        }
        g_object_unref(service_);
    }

    std::string url() const { return "http://127.0.0.1:" + std::to_string(port_); }

    int connections{0};
    /// The first bytes of the last request.
    std::string received;

private:
    static gboolean accept(GSocketService* /*service*/, GSocketConnection* connection, GObject* /*source*/,
                           gpointer data)
    {
        auto* self = static_cast<raw_server*>(data);
        ++self->connections;
        self->connections_.push_back(static_cast<GSocketConnection*>(g_object_ref(connection)));
        GInputStream* input = g_io_stream_get_input_stream(G_IO_STREAM(connection));
        g_input_stream_read_bytes_async(input, 4096, G_PRIORITY_DEFAULT, nullptr, &raw_server::answer,
                                        new answer_job{self, connection});
        return TRUE;
    }
    struct answer_job {
        raw_server* server;
        GSocketConnection* connection;
    };
    static void answer(GObject* source, GAsyncResult* result, gpointer data)
    {
        const std::unique_ptr<answer_job> job{static_cast<answer_job*>(data)};
        GBytes* request = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, nullptr);
        if (request == nullptr) {
            return;
        }
        raw_server& self = *job->server;
        gsize size = 0;
        const auto* bytes = static_cast<const char*>(g_bytes_get_data(request, &size));
        self.received.assign(bytes, size);
        g_bytes_unref(request);
        GOutputStream* output = g_io_stream_get_output_stream(G_IO_STREAM(job->connection));
        g_output_stream_write_all(output, self.bytes_.data(), self.bytes_.size(), nullptr, nullptr, nullptr);
        if (self.after_answer_ == after_answer::close) {
            g_io_stream_close(G_IO_STREAM(job->connection), nullptr, nullptr);
        }
    }

    std::string bytes_;
    after_answer after_answer_;
    GSocketService* service_;
    std::uint16_t port_{0};
    std::vector<GSocketConnection*> connections_;
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
