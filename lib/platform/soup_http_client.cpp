// HTTP client that uses libsoup.
#include "soup_call.h"

#include <agatespar/platform/soup_http_client.h>

#include <vector>

namespace agatespar {

class soup_http_client::impl {
public:
    impl(event_loop& loop, const soup_http_settings& settings)
        : loop_(loop), max_response_bytes_(settings.max_response_bytes), session_(make_session(settings))
    {
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    ~impl()
    {
        for (const std::weak_ptr<soup_call>& call : calls_) {
            if (const auto locked_call = call.lock()) {
                locked_call->abandon();
            }
        }
        g_object_unref(session_);
    }

    std::shared_ptr<soup_call> start(const http_request& request, http_stream_callbacks callbacks, timeout_rule rule)
    {
        remove_ended_calls();
        auto call = std::make_shared<soup_call>(loop_, std::move(callbacks), rule);
        calls_.push_back(call);
        call->start(session_, request);
        return call;
    }

    void send(const http_request& request, http_callback callback);

private:
    static SoupSession* make_session(const soup_http_settings& settings);
    void remove_ended_calls();

    event_loop& loop_;
    std::size_t max_response_bytes_;
    SoupSession* session_;
    std::vector<std::weak_ptr<soup_call>> calls_;
    std::size_t next_sweep_size_{64};
};

SoupSession* soup_http_client::impl::make_session(const soup_http_settings& settings)
{
    // The platform's addresses are reached directly, regardless of proxy settings in the environment.
    SoupSession* session =
        soup_session_new_with_options("proxy-resolver", nullptr, "timeout", 0U, "max-conns", settings.max_connections,
                                      "max-conns-per-host", settings.max_connections_per_host, "idle-timeout",
                                      static_cast<guint>(settings.idle_connection_timeout.count()), nullptr);
    // The size limit applies to bodies as they are received, so they are not decompressed.
    soup_session_remove_feature_by_type(session, SOUP_TYPE_CONTENT_DECODER);
    if (!settings.tls_ca_file.empty()) {
        GTlsDatabase* database = g_tls_file_database_new(settings.tls_ca_file.c_str(), nullptr);
        soup_session_set_tls_database(session, database);
        g_clear_object(&database);
    }
    return session;
}

// Removes ended calls when the list has doubled, so that the amortized cost per call is constant.
void soup_http_client::impl::remove_ended_calls()
{
    if (calls_.size() < next_sweep_size_) {
        return;
    }
    std::erase_if(calls_, [](const std::weak_ptr<soup_call>& call) { return call.expired(); });
    next_sweep_size_ = std::max<std::size_t>(64, calls_.size() * 2);
}

void soup_http_client::impl::send(const http_request& request, http_callback callback)
{
    struct exchange {
        http_response response;
        std::weak_ptr<soup_call> call;
    };
    auto state = std::make_shared<exchange>();
    http_stream_callbacks callbacks;
    callbacks.on_head = [state](const http_head& head) { state->response.head = head; };
    callbacks.on_bytes = [state, limit = max_response_bytes_](std::string_view bytes) {
        if (state->response.body.size() + bytes.size() <= limit) {
            state->response.body += bytes;
            return;
        }
        if (const auto call = state->call.lock()) {
            call->fail(error{error_code::too_large, "the answer exceeds " + std::to_string(limit) + " bytes",
                             run_state::outcome_unknown, std::nullopt});
        }
    };
    callbacks.on_end = [state, callback = std::move(callback)](const outcome<void>& result) {
        if (!result) {
            callback(tl::make_unexpected(result.error()));
            return;
        }
        callback(std::move(state->response));
    };
    state->call = start(request, std::move(callbacks), timeout_rule::whole_call);
}

soup_http_client::soup_http_client(event_loop& loop, const soup_http_settings& settings)
    : impl_(std::make_unique<impl>(loop, settings))
{
}

soup_http_client::~soup_http_client() = default;

http_client soup_http_client::client()
{
    http_client operations;
    operations.send = [this](const http_request& request, http_callback callback) {
        impl_->send(request, std::move(callback));
    };
    operations.stream = [this](const http_request& request, http_stream_callbacks callbacks) -> cancel_handle {
        const auto call = impl_->start(request, std::move(callbacks), timeout_rule::each_chunk);
        return [weak_call = std::weak_ptr<soup_call>(call)] {
            if (const auto locked_call = weak_call.lock()) {
                locked_call->abandon();
            }
        };
    };
    return operations;
}

} // namespace agatespar
