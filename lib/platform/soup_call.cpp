// One HTTP call in flight over libsoup.
#include "soup_call.h"

#include <algorithm>
#include <cassert>
#include <cctype>

namespace agatespar {

static constexpr gsize read_chunk_bytes = gsize{16} * 1024;

static bool has_control_character(const std::string& text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char c) { return std::iscntrl(c) != 0 && c != '\t'; });
}

static bool is_sendable(const http_request& request)
{
    return std::none_of(request.headers.begin(), request.headers.end(), [](const http_header& header) {
        return header.name.empty() || has_control_character(header.name) || has_control_character(header.value);
    });
}

static void append_header(const char* name, const char* value, gpointer target)
{
    static_cast<std::vector<http_header>*>(target)->push_back({name, value});
}

http_head read_head(SoupMessage* message)
{
    http_head head;
    head.status = static_cast<int>(soup_message_get_status(message));
    soup_message_headers_foreach(soup_message_get_response_headers(message), &append_header, &head.headers);
    return head;
}

// Makes a reference to the call for an asynchronous operation, which returns it through take_reference().
static gpointer make_reference(const std::shared_ptr<soup_call>& call)
{
    return new std::shared_ptr<soup_call>(call);
}

static std::shared_ptr<soup_call> take_reference(gpointer data)
{
    const std::unique_ptr<std::shared_ptr<soup_call>> owned_reference{static_cast<std::shared_ptr<soup_call>*>(data)};
    return *owned_reference;
}

soup_call::soup_call(event_loop& loop, http_stream_callbacks callbacks, timeout_rule rule)
    : loop_(loop), callbacks_(std::move(callbacks)), rule_(rule), cancellable_(g_cancellable_new())
{
}

soup_call::~soup_call()
{
    if (message_ != nullptr) {
        g_signal_handlers_disconnect_by_data(message_, this);
    }
    g_clear_object(&message_);
    g_clear_object(&body_);
    g_clear_object(&cancellable_);
}

bool soup_call::build_message(const http_request& request)
{
    if (!is_sendable(request)) {
        return false;
    }
    message_ = soup_message_new(request.method.c_str(), request.url.c_str());
    if (message_ == nullptr) {
        return false;
    }
    soup_message_add_flags(message_, SOUP_MESSAGE_NO_REDIRECT);
    if (request.fresh_connection) {
        soup_message_add_flags(message_, SOUP_MESSAGE_NEW_CONNECTION);
    }
    SoupMessageHeaders* headers = soup_message_get_request_headers(message_);
    for (const http_header& header : request.headers) {
        soup_message_headers_append(headers, header.name.c_str(), header.value.c_str());
    }
    if (!request.body.empty()) {
        GBytes* bytes = g_bytes_new(request.body.data(), request.body.size());
        soup_message_set_request_body_from_bytes(message_, "application/json", bytes);
        g_bytes_unref(bytes);
    }
    return true;
}

void soup_call::start(SoupSession* session, const http_request& request)
{
    if (!build_message(request)) {
        loop_.post([self = shared_from_this(), url = request.url] {
            self->finish(failure(error_code::invalid_argument, "invalid URL or header in a request to '" + url + "'"));
        });
        return;
    }
    idle_timeout_ = request.idle_timeout;
    restart_timer(request.timeout);
    g_signal_connect(message_, "starting", G_CALLBACK(&soup_call::on_starting), this);
    soup_session_send_async(session, message_, G_PRIORITY_DEFAULT, cancellable_, &soup_call::on_sent,
                            make_reference(shared_from_this()));
}

void soup_call::abandon()
{
    stop_timer();
    // The callbacks are kept until the call is destroyed, as one of them may be running.
    done_ = true;
    g_cancellable_cancel(cancellable_);
}

void soup_call::fail(error reason)
{
    if (done_ || local_failure_) {
        return;
    }
    local_failure_ = std::move(reason);
    g_cancellable_cancel(cancellable_);
}

void soup_call::on_starting(SoupMessage* /*message*/, gpointer data)
{
    static_cast<soup_call*>(data)->started_ = true;
}

void soup_call::on_sent(GObject* source, GAsyncResult* result, gpointer data)
{
    const std::shared_ptr<soup_call> self = take_reference(data);
    GError* problem = nullptr;
    self->body_ = soup_session_send_finish(SOUP_SESSION(source), result, &problem);
    if (self->body_ == nullptr) {
        self->finish(tl::make_unexpected(self->describe(problem)));
        g_error_free(problem);
        return;
    }
    if (self->done_) {
        return;
    }
    if (self->callbacks_.on_head) {
        self->callbacks_.on_head(read_head(self->message_));
    }
    self->read_more();
}

void soup_call::read_more()
{
    if (done_) {
        return;
    }
    if (rule_ == timeout_rule::each_chunk) {
        restart_timer(idle_timeout_);
    }
    g_input_stream_read_bytes_async(body_, read_chunk_bytes, G_PRIORITY_DEFAULT, cancellable_, &soup_call::on_read,
                                    make_reference(shared_from_this()));
}

void soup_call::on_read(GObject* source, GAsyncResult* result, gpointer data)
{
    const std::shared_ptr<soup_call> self = take_reference(data);
    GError* problem = nullptr;
    GBytes* bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, &problem);
    if (bytes == nullptr) {
        self->finish(tl::make_unexpected(self->describe(problem)));
        g_error_free(problem);
        return;
    }
    gsize size = 0;
    const auto* start = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    if (size == 0) {
        self->finish({});
    }
    else if (!self->done_ && !self->local_failure_ && self->callbacks_.on_bytes) {
        self->callbacks_.on_bytes(std::string_view{start, size});
    }
    g_bytes_unref(bytes);
    self->read_more();
}

void soup_call::restart_timer(std::chrono::milliseconds timeout)
{
    stop_timer();
    timer_ = loop_.schedule(timeout, [this] {
        timer_.reset();
        fail(error{error_code::deadline_exceeded, "no answer within the timeout",
                   started_ ? run_state::outcome_unknown : run_state::not_run, std::nullopt});
    });
}

void soup_call::stop_timer()
{
    if (timer_) {
        loop_.cancel(*timer_);
        timer_.reset();
    }
}

void soup_call::finish(outcome<void> result)
{
    if (done_) {
        return;
    }
    stop_timer();
    done_ = true;
    if (local_failure_) {
        result = tl::make_unexpected(*local_failure_);
    }
    // The callbacks may own the call's owner, so the call drops its references before the last one runs.
    const http_stream_callbacks last = std::exchange(callbacks_, {});
    if (last.on_end) {
        last.on_end(std::move(result));
    }
}

error soup_call::describe(const GError* problem) const
{
    return error{error_code::unavailable, std::string{"the HTTP call failed: "} + problem->message,
                 started_ ? run_state::outcome_unknown : run_state::not_run, std::nullopt};
}

} // namespace agatespar
