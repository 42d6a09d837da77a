// HTTP client: starts calls over a pool of connections, and collects complete answers.
#include "http_connection_pool.h"

#include <agatespar/platform/gio_http_client.h>

#include <algorithm>
#include <vector>

namespace agatespar {

class gio_http_client::impl {
public:
    impl(event_loop& loop, const gio_http_settings& settings)
        : loop_(loop), max_response_bytes_(settings.max_response_bytes), pool_(loop, settings)
    {
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    ~impl()
    {
        for (const std::weak_ptr<http_call>& call : calls_) {
            if (const auto locked_call = call.lock()) {
                locked_call->abandon();
            }
        }
    }

    std::shared_ptr<http_call> start(const http_request& request, http_stream_callbacks callbacks, timeout_rule rule)
    {
        remove_ended_calls();
        auto call = std::make_shared<http_call>(loop_, pool_.source(), std::move(callbacks), rule);
        calls_.push_back(call);
        call->start(request);
        return call;
    }

    void send(const http_request& request, http_callback callback);

private:
    void remove_ended_calls();

    event_loop& loop_;
    std::size_t max_response_bytes_;
    http_connection_pool pool_;
    std::vector<std::weak_ptr<http_call>> calls_;
    std::size_t next_sweep_size_{64};
};

// Removes ended calls when the list has doubled, so that the amortized cost per call is constant.
void gio_http_client::impl::remove_ended_calls()
{
    if (calls_.size() < next_sweep_size_) {
        return;
    }
    std::erase_if(calls_, [](const std::weak_ptr<http_call>& call) { return call.expired(); });
    next_sweep_size_ = std::max<std::size_t>(64, calls_.size() * 2);
}

void gio_http_client::impl::send(const http_request& request, http_callback callback)
{
    struct exchange {
        http_response response;
        std::weak_ptr<http_call> call;
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
            call->fail_later(error{error_code::too_large, "the answer exceeds " + std::to_string(limit) + " bytes",
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

gio_http_client::gio_http_client(event_loop& loop, const gio_http_settings& settings)
    : impl_(std::make_unique<impl>(loop, settings))
{
}

gio_http_client::~gio_http_client() = default;

http_client gio_http_client::client()
{
    http_client operations;
    operations.send = [this](const http_request& request, http_callback callback) {
        impl_->send(request, std::move(callback));
    };
    operations.stream = [this](const http_request& request, http_stream_callbacks callbacks) -> cancel_handle {
        const auto call = impl_->start(request, std::move(callbacks), timeout_rule::each_chunk);
        return [weak_call = std::weak_ptr<http_call>(call)] {
            if (const auto locked_call = weak_call.lock()) {
                locked_call->abandon();
            }
        };
    };
    return operations;
}

} // namespace agatespar
