// Connections of GIO, which resolves names and implements TLS.
#include "gio_connection.h"

#include <agatespar/http/tcp_stream.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

namespace agatespar {

static std::shared_ptr<gio_connection> take_reference(gpointer data)
{
    const std::unique_ptr<std::shared_ptr<gio_connection>> owned_reference{
        static_cast<std::shared_ptr<gio_connection>*>(data)};
    return *owned_reference;
}

/// @return the message of an error, which is freed.
static std::string take_message(GError* problem)
{
    std::string message{problem->message};
    g_error_free(problem);
    return message;
}

static void trust_database(GSocketClient* /*client*/, GSocketClientEvent event, GSocketConnectable* /*target*/,
                           GIOStream* stream, gpointer database)
{
    if (event == G_SOCKET_CLIENT_TLS_HANDSHAKING) {
        g_tls_connection_set_database(G_TLS_CONNECTION(stream), G_TLS_DATABASE(database));
    }
}

gio_connection::gio_connection(std::function<void()> on_closed)
    : on_closed_(std::move(on_closed)), callbacks_(std::make_shared<connection_callbacks>()),
      cancellable_(g_cancellable_new())
{
}

gio_connection::~gio_connection()
{
    close();
    g_clear_object(&stream_);
    g_clear_object(&cancellable_);
}

gpointer gio_connection::make_reference()
{
    return new std::shared_ptr<gio_connection>(shared_from_this());
}

void gio_connection::open(const http_origin& origin, GTlsDatabase* trusted)
{
    GSocketClient* client = g_socket_client_new();
    // The platform's addresses are reached directly, regardless of proxy settings in the environment.
    g_socket_client_set_enable_proxy(client, FALSE);
    g_socket_client_set_tls(client, origin.uses_tls ? TRUE : FALSE);
    if (trusted != nullptr) {
        g_signal_connect_object(client, "event", G_CALLBACK(&trust_database), trusted, GConnectFlags{});
    }
    GSocketConnectable* target = g_network_address_new(origin.host.c_str(), origin.port);
    g_socket_client_connect_async(client, target, cancellable_, &gio_connection::on_opened, make_reference());
    g_object_unref(target);
    g_object_unref(client);
}

void gio_connection::on_opened(GObject* source, GAsyncResult* result, gpointer data)
{
    const std::shared_ptr<gio_connection> self = take_reference(data);
    GError* problem = nullptr;
    self->stream_ = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, &problem);
    if (self->stream_ == nullptr) {
        self->end({false, take_message(problem)});
        return;
    }
    if (self->is_closed_) {
        return;
    }
    // Not required: without it, sending is slower.
    g_socket_set_option(g_socket_connection_get_socket(self->stream_), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    if (const auto callbacks = self->callbacks_; callbacks->opened) {
        callbacks->opened();
    }
    self->read_more();
}

void gio_connection::set_callbacks(connection_callbacks callbacks)
{
    callbacks_ = std::make_shared<connection_callbacks>(std::move(callbacks));
}

void gio_connection::read_more()
{
    if (is_closed_ || is_reading_) {
        return;
    }
    if (is_paused_) {
        input_ = {};
        return;
    }
    is_reading_ = true;
    input_.resize(max_read_bytes);
    g_input_stream_read_async(g_io_stream_get_input_stream(G_IO_STREAM(stream_)), input_.data(), input_.size(),
                              G_PRIORITY_DEFAULT, cancellable_, &gio_connection::on_read, make_reference());
}

void gio_connection::on_read(GObject* source, GAsyncResult* result, gpointer data)
{
    const std::shared_ptr<gio_connection> self = take_reference(data);
    self->is_reading_ = false;
    GError* problem = nullptr;
    const gssize count = g_input_stream_read_finish(G_INPUT_STREAM(source), result, &problem);
    if (count < 0) {
        self->end({false, take_message(problem)});
        return;
    }
    if (count == 0) {
        self->end({!self->has_lost_output(), "the server closed the connection"});
        return;
    }
    if (const auto callbacks = self->callbacks_; callbacks->received) {
        callbacks->received({self->input_.data(), static_cast<std::size_t>(count)});
    }
    self->read_more();
}

void gio_connection::pause()
{
    is_paused_ = true;
}

bool gio_connection::resume()
{
    is_paused_ = false;
    GInputStream* input = g_io_stream_get_input_stream(G_IO_STREAM(stream_));
    GError* problem = nullptr;
    char byte = 0;
    g_pollable_input_stream_read_nonblocking(G_POLLABLE_INPUT_STREAM(input), &byte, 1, nullptr, &problem);
    const bool is_quiet = g_error_matches(problem, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    g_clear_error(&problem);
    if (!is_quiet) {
        close();
        return false;
    }
    read_more();
    return true;
}

void gio_connection::send(std::string bytes)
{
    output_ = std::move(bytes);
    is_sending_ = true;
    g_output_stream_write_all_async(g_io_stream_get_output_stream(G_IO_STREAM(stream_)), output_.data(), output_.size(),
                                    G_PRIORITY_DEFAULT, cancellable_, &gio_connection::on_written, make_reference());
}

void gio_connection::on_written(GObject* source, GAsyncResult* result, gpointer data)
{
    const std::shared_ptr<gio_connection> self = take_reference(data);
    if (g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, nullptr, nullptr) == FALSE) {
        // The server may have answered before it ended the connection, so the end is reported by the reading side.
        return;
    }
    self->is_sending_ = false;
    self->output_ = {};
}

bool gio_connection::has_lost_output() const
{
    return is_sending_ || unacknowledged_bytes(g_socket_get_fd(g_socket_connection_get_socket(stream_))) > 0;
}

void gio_connection::end(const connection_end& how)
{
    const auto callbacks = callbacks_;
    const bool notify = !is_closed_;
    close();
    if (notify && callbacks->ended) {
        callbacks->ended(how);
    }
}

void gio_connection::close()
{
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    callbacks_ = std::make_shared<connection_callbacks>();
    g_cancellable_cancel(cancellable_);
    if (stream_ != nullptr) {
        // The streams close their socket when the last operation has been cancelled. The server is told now, and what
        // they still write fails rather than waits.
        g_socket_shutdown(g_socket_connection_get_socket(stream_), TRUE, TRUE, nullptr);
    }
    if (const auto on_closed = std::exchange(on_closed_, nullptr)) {
        on_closed();
    }
}

} // namespace agatespar
