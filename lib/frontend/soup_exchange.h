// The response side of one libsoup message.
#pragma once

#include "held_bytes.h"

#include <agatespar/frontend/http_server.h>

#include <libsoup/soup.h>

#include <cassert>

namespace agatespar {

/// The response side of one libsoup message.
class soup_exchange final : public http_exchange {
public:
    /// @param body_held what the body holds. @param answer kept by the server too until the caller has read the answer.
    soup_exchange(SoupServerMessage* message, std::string body, byte_reservation body_held,
                  std::shared_ptr<unread_answer> answer, std::size_t max_unsent, http_server_counters& counters)
        : message_(SOUP_SERVER_MESSAGE(g_object_ref(message))), method_(soup_server_message_get_method(message)),
          path_(g_uri_get_path(soup_server_message_get_uri(message))), body_(std::move(body)),
          body_held_(std::move(body_held)), answer_(std::move(answer)), max_unsent_(max_unsent), counters_(counters),
          finished_signal_(g_signal_connect(message_, "finished", G_CALLBACK(&soup_exchange::handle_finished), this))
    {
    }
    soup_exchange(const soup_exchange&) = delete;
    soup_exchange& operator=(const soup_exchange&) = delete;
    ~soup_exchange() override
    {
        g_signal_handler_disconnect(message_, finished_signal_);
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
        // A complete answer is always kept, as its request may run only once; the next requests are refused instead.
        answer_->held.set(body.size());
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
        const std::size_t unsent = answer_->held.bytes() + piece.size();
        answer_->in_pieces = true;
        if (unsent > max_unsent_ || !answer_->held.grow_to(unsent, unsent)) {
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

    SoupServerMessage* message_;
    std::string method_;
    std::string path_;
    std::string body_;
    byte_reservation body_held_;
    std::shared_ptr<unread_answer> answer_;
    std::size_t max_unsent_;
    http_server_counters& counters_;
    bool answered_{false};
    bool disconnected_{false};
    gulong finished_signal_;
    std::function<void()> disconnect_callback_;
};

} // namespace agatespar
