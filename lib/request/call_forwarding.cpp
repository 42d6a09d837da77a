// Sends forwarded calls as messages and matches their answers by the number of the forward.
#include <agatespar/request/call_forwarding.h>
#include <agatespar/request/wire_error.h>

namespace agatespar {

static forward_call_message to_message(std::uint64_t id, const service_request& request)
{
    forward_call_message message;
    message.forward = id;
    message.request = request.id;
    message.account = request.account;
    message.service = request.service;
    message.method = request.method;
    message.body = request.body;
    message.has_key = request.key.has_value();
    message.key = request.key.value_or(idempotency_key{});
    message.first_submission = request.first_submission;
    message.key_time = request.key_time;
    message.traceparent = request.traceparent;
    return message;
}

static service_request to_request(forward_call_message&& message)
{
    service_request request;
    request.id = std::move(message.request);
    request.account = std::move(message.account);
    request.service = std::move(message.service);
    request.method = std::move(message.method);
    request.body = std::move(message.body);
    if (message.has_key) {
        request.key = std::move(message.key);
    }
    request.first_submission = message.first_submission;
    request.key_time = std::move(message.key_time);
    request.traceparent = std::move(message.traceparent);
    return request;
}

void call_forwarding::send(const zone_id& zone, const service_request& request, duration remaining,
                           service_callback callback)
{
    const std::uint64_t id = dependencies_.next_id();
    const auto address = dependencies_.pick_vm(zone);
    const bool sent =
        address && dependencies_.send(*address, message_kind::forward_call, encode(to_message(id, request)));
    if (!sent) {
        callback(failure(error_code::unavailable, "no VM of the other zone can be reached"));
        return;
    }
    const timer_id timer = dependencies_.loop->schedule(remaining, [this, id] {
        finish(id, tl::make_unexpected(error{error_code::outcome_unknown, "the other zone's VM did not answer",
                                             run_state::outcome_unknown, std::nullopt}));
    });
    pending_.emplace(id, pending_call{std::move(callback), timer});
}

void call_forwarding::take(const frame& received)
{
    if (received.kind == message_kind::forward_call) {
        handle_call(received);
        return;
    }
    const auto answer = decode<forward_answer_message>(received.payload);
    if (!answer) {
        return;
    }
    if (answer->failed) {
        finish(answer->forward, tl::make_unexpected(get_error(*answer)));
        return;
    }
    finish(answer->forward, service_answer{answer->body, answer->repeated, answer->ran_as});
}

void call_forwarding::handle_call(const frame& received)
{
    auto message = decode<forward_call_message>(received.payload);
    if (!message) {
        return;
    }
    const std::uint64_t id = message->forward;
    const std::string address = received.reply_address;
    dependencies_.run(to_request(*std::move(message)), [this, id, address](const outcome<service_answer>& answer) {
        forward_answer_message reply;
        reply.forward = id;
        if (answer) {
            reply.body = answer->body;
            reply.repeated = answer->repeated;
            reply.ran_as = answer->ran_as;
        }
        else {
            set_error(reply, answer.error());
        }
        dependencies_.send(address, message_kind::forward_answer, encode(reply));
    });
}

void call_forwarding::finish(std::uint64_t id, outcome<service_answer> answer)
{
    auto node = pending_.extract(id);
    if (node.empty()) {
        return;
    }
    dependencies_.loop->cancel(node.mapped().timer);
    node.mapped().callback(std::move(answer));
}

} // namespace agatespar
