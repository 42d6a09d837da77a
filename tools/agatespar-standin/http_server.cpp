// HTTP server of the stand-ins, based on libsoup.
#include "http_server.h"

#include <algorithm>
#include <charconv>

namespace agatespar::standin {

exchange::exchange(SoupServerMessage* message, std::string path)
    : message_(static_cast<SoupServerMessage*>(g_object_ref(message))), path_(std::move(path))
{
    g_signal_connect(message_, "finished", G_CALLBACK(&exchange::on_finished), this);
    g_signal_connect(message_, "wrote-chunk", G_CALLBACK(&exchange::on_wrote_chunk), this);
    soup_server_message_pause(message_);
}

exchange::~exchange()
{
    g_signal_handlers_disconnect_by_data(message_, this);
    g_object_unref(message_);
}

void exchange::on_finished(SoupServerMessage* /*message*/, gpointer data)
{
    static_cast<exchange*>(data)->open_ = false;
}

void exchange::on_wrote_chunk(SoupServerMessage* /*message*/, gpointer data)
{
    auto* self = static_cast<exchange*>(data);
    // The chunk that ends a body is written too but is not an event, so the counter may be zero already.
    self->unwritten_events_ -= std::min<std::size_t>(self->unwritten_events_, 1);
}

std::string exchange::method() const
{
    return soup_server_message_get_method(message_);
}

std::string exchange::body() const
{
    const SoupMessageBody* body = soup_server_message_get_request_body(message_);
    return body->data == nullptr ? std::string{} : std::string{body->data, static_cast<std::size_t>(body->length)};
}

std::string exchange::header(const char* name) const
{
    const char* value = soup_message_headers_get_one(soup_server_message_get_request_headers(message_), name);
    return value == nullptr ? std::string{} : std::string{value};
}

std::string exchange::query_text(const char* name) const
{
    const char* query = g_uri_get_query(soup_server_message_get_uri(message_));
    if (query == nullptr) {
        return {};
    }
    GHashTable* fields = soup_form_decode(query);
    const auto* text = static_cast<const char*>(g_hash_table_lookup(fields, name));
    std::string copy{text == nullptr ? "" : text};
    g_hash_table_unref(fields);
    return copy;
}

std::uint64_t exchange::query_number(const char* name, std::uint64_t fallback) const
{
    const std::string text = query_text(name);
    std::uint64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void exchange::add_header(const char* name, const std::string& value)
{
    soup_message_headers_replace(soup_server_message_get_response_headers(message_), name, value.c_str());
}

void exchange::answer(int status, const nlohmann::json& document)
{
    if (!open_) {
        return;
    }
    answer_bytes(status, "application/json", document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void exchange::answer_bytes(int status, const char* content_type, const std::string& bytes)
{
    if (!open_) {
        return;
    }
    soup_server_message_set_status(message_, static_cast<guint>(status), nullptr);
    soup_server_message_set_response(message_, content_type, SOUP_MEMORY_COPY, bytes.data(), bytes.size());
    soup_server_message_unpause(message_);
}

void exchange::refuse(int status, const std::string& message, const std::string& ran)
{
    answer(status, {{"message", message}, {"ran", ran}});
}

void exchange::begin_events()
{
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(message_);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_set_content_type(headers, "text/event-stream", nullptr);
    soup_message_body_set_accumulate(soup_server_message_get_response_body(message_), FALSE);
    soup_server_message_set_status(message_, SOUP_STATUS_OK, nullptr);
}

void exchange::send_event(const nlohmann::json& data)
{
    send_text("data: " + data.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n\n");
}

void exchange::send_text(const std::string& text)
{
    if (!open_) {
        return;
    }
    soup_message_body_append(soup_server_message_get_response_body(message_), SOUP_MEMORY_COPY, text.data(),
                             text.size());
    ++unwritten_events_;
    soup_server_message_unpause(message_);
}

void exchange::end_events()
{
    if (!open_) {
        return;
    }
    soup_message_body_complete(soup_server_message_get_response_body(message_));
    soup_server_message_unpause(message_);
}

void exchange::drop()
{
    if (!open_) {
        return;
    }
    open_ = false;
    GIOStream* connection = soup_server_message_steal_connection(message_);
    g_io_stream_close(connection, nullptr, nullptr);
    g_object_unref(connection);
}

http_server::http_server(exchange_handler handler) : handler_(std::move(handler)), server_(nullptr) {}

http_server::~http_server()
{
    stop();
}

bool http_server::listen(const std::string& address, std::uint16_t port)
{
    server_ = soup_server_new("server-header", "agatespar-standin ", nullptr);
    soup_server_add_handler(server_, nullptr, &http_server::handle, this, nullptr);
    GSocketAddress* socket_address = g_inet_socket_address_new_from_string(address.c_str(), port);
    if (socket_address == nullptr ||
        soup_server_listen(server_, socket_address, SoupServerListenOptions{}, nullptr) == FALSE) {
        g_clear_object(&socket_address);
        g_clear_object(&server_);
        return false;
    }
    g_object_unref(socket_address);
    GSList* uris = soup_server_get_uris(server_);
    port_ = static_cast<std::uint16_t>(g_uri_get_port(static_cast<GUri*>(uris->data)));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(&g_uri_unref));
    address_ = address;
    return true;
}

void http_server::stop()
{
    for (const auto& weak_exchange : std::exchange(exchanges_, {})) {
        if (const auto open = weak_exchange.lock()) {
            open->drop();
        }
    }
    if (server_ != nullptr) {
        soup_server_disconnect(server_);
        g_clear_object(&server_);
    }
}

void http_server::handle(SoupServer* /*server*/, SoupServerMessage* message, const char* path, GHashTable* /*query*/,
                         gpointer data)
{
    auto* self = static_cast<http_server*>(data);
    const auto call = std::make_shared<exchange>(message, path);
    std::erase_if(self->exchanges_, [](const auto& weak_exchange) { return weak_exchange.expired(); });
    self->exchanges_.insert(call);
    try {
        self->handler_(call);
    }
    catch (const nlohmann::json::exception& problem) {
        call->refuse(400, problem.what());
    }
}

} // namespace agatespar::standin
