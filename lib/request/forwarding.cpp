// Sends forwarded requests as messages and matches their answers by the number of the forward.
#include <agatespar/request/forwarding.h>
#include <agatespar/request/wire_error.h>

#include <memory>

namespace agatespar {

// A forward fails if the other VM sends nothing for this long. Engines answer or fail sooner.
static constexpr std::chrono::seconds forward_idle_timeout{12};
static constexpr std::size_t max_incoming = 4096;

static forward_request_message to_message(std::uint64_t id, const chat_request& request, duration remaining)
{
    forward_request_message message;
    message.forward = id;
    message.request = request.id;
    message.account = request.account;
    message.target = request.target;
    message.request_class = request.request_class;
    message.session_token = request.session_token;
    message.messages_json = request.messages_json;
    message.max_output = request.max_output.value();
    message.streamed = request.streamed;
    message.remaining_ms = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    message.traceparent = request.traceparent;
    if (request.resume) {
        message.resume_model = request.resume->version.model.name.value();
        message.resume_version = request.resume->version.version.value();
        message.resume_tokens = request.resume->delivered.value();
    }
    return message;
}

static chat_request to_request(forward_request_message&& message)
{
    chat_request request;
    request.id = std::move(message.request);
    request.account = std::move(message.account);
    request.target = std::move(message.target);
    request.request_class = std::move(message.request_class);
    request.session_token = std::move(message.session_token);
    request.messages_json = std::move(message.messages_json);
    request.max_output = token_count{message.max_output};
    request.streamed = message.streamed;
    request.deadline = std::chrono::milliseconds{message.remaining_ms};
    request.traceparent = std::move(message.traceparent);
    if (!message.resume_model.empty()) {
        const version_id version{{request.account.fleet, model_name{message.resume_model}},
                                 version_name{message.resume_version}};
        request.resume = resume_point{version, token_count{message.resume_tokens}};
    }
    return request;
}

cancel_handle forwarding::send(const zone_id& zone, const chat_request& request, duration remaining, answer_sink sink)
{
    const std::uint64_t id = dependencies_.next_id();
    outgoing_forward& forward = outgoing_[id];
    forward.sink = std::move(sink);
    const auto address = dependencies_.pick_vm(zone);
    const bool sent = address && dependencies_.send(*address, message_kind::forward_request,
                                                    encode(to_message(id, request, remaining)));
    if (!sent) {
        // Posted, so that the function's caller receives the cancel handle before the failure.
        forward.idle_timer = dependencies_.loop->post([this, id] {
            fail(id, {error_code::unavailable, "no VM of the other zone can be reached", run_state::not_run, {}});
        });
    }
    else {
        forward.address = *address;
        restart_idle_timer(id, forward);
    }
    return [this, id] {
        const auto found = outgoing_.find(id);
        if (found == outgoing_.end()) {
            return;
        }
        dependencies_.loop->cancel(found->second.idle_timer);
        dependencies_.send(found->second.address, message_kind::forward_cancel, encode(forward_cancel_message{id}));
        outgoing_.erase(found);
    };
}

void forwarding::restart_idle_timer(std::uint64_t id, outgoing_forward& forward)
{
    dependencies_.loop->cancel(forward.idle_timer);
    forward.idle_timer = dependencies_.loop->schedule(forward_idle_timeout, [this, id] {
        fail(id, {error_code::unavailable, "the other zone's VM stopped answering", run_state::outcome_unknown, {}});
    });
}

void forwarding::fail(std::uint64_t id, const error& problem)
{
    auto node = outgoing_.extract(id);
    if (node.empty()) {
        return;
    }
    dependencies_.loop->cancel(node.mapped().idle_timer);
    node.mapped().sink.fail(problem);
}

void forwarding::take(const frame& received)
{
    if (received.kind == message_kind::forward_request) {
        handle_request(received);
        return;
    }
    if (received.kind == message_kind::forward_cancel) {
        handle_cancel(received);
        return;
    }
    if (received.kind == message_kind::forward_chunk) {
        if (const auto chunk = decode<forward_chunk_message>(received.payload)) {
            handle_chunk(*chunk);
        }
        return;
    }
    if (const auto end = decode<forward_end_message>(received.payload)) {
        handle_end(*end);
    }
}

void forwarding::handle_request(const frame& received)
{
    auto message = decode<forward_request_message>(received.payload);
    if (!message) {
        return;
    }
    const incoming_key key{received.sender, message->forward};
    answer_sink sink = make_reply_sink(key, received.reply_address);
    if (incoming_.size() >= max_incoming) {
        sink.fail(
            {error_code::overloaded, "the other zone's VM runs too many forwarded requests", run_state::not_run, {}});
        return;
    }
    // Inserted before the call, since the run may end within it and erase the entry.
    incoming_[key] = {};
    cancel_handle stop = dependencies_.run(to_request(*std::move(message)), std::move(sink));
    if (const auto found = incoming_.find(key); found != incoming_.end()) {
        found->second = std::move(stop);
    }
}

answer_sink forwarding::make_reply_sink(const incoming_key& key, const std::string& address)
{
    auto sequence = std::make_shared<std::uint32_t>(0);
    answer_sink sink;
    sink.start = [this, key, address, sequence](const answer_head& head) {
        forward_chunk_message chunk;
        chunk.forward = key.forward;
        chunk.sequence = (*sequence)++;
        chunk.is_head = true;
        chunk.model = head.version.model;
        chunk.version = head.version.version;
        chunk.session_token = head.session_token;
        chunk.moved_from = head.moved_from ? head.moved_from->version.value() : "";
        dependencies_.send(address, message_kind::forward_chunk, encode(chunk));
    };
    sink.text = [this, key, address, sequence](const answer_text& piece) {
        forward_chunk_message chunk;
        chunk.forward = key.forward;
        chunk.sequence = (*sequence)++;
        chunk.text = piece.text;
        chunk.delivered = piece.delivered.value();
        dependencies_.send(address, message_kind::forward_chunk, encode(chunk));
    };
    sink.finish = [this, key, address, sequence](const answer_end& end) {
        const forward_end_message message{
            key.forward, *sequence, false, end.finish_reason, end.prompt_tokens.value(), end.output_tokens.value(), 0,
            "",          0,         -1};
        dependencies_.send(address, message_kind::forward_end, encode(message));
        incoming_.erase(key);
    };
    sink.fail = [this, key, address, sequence](const error& problem) {
        forward_end_message message;
        message.forward = key.forward;
        message.sequence = *sequence;
        set_error(message, problem);
        dependencies_.send(address, message_kind::forward_end, encode(message));
        incoming_.erase(key);
    };
    return sink;
}

forwarding::outgoing_forward* forwarding::accept(std::uint64_t id, std::uint32_t sequence)
{
    const auto found = outgoing_.find(id);
    if (found == outgoing_.end()) {
        return nullptr;
    }
    if (sequence != found->second.next_sequence) {
        fail(id, {error_code::unavailable, "a part of the forwarded answer was lost", run_state::outcome_unknown, {}});
        return nullptr;
    }
    ++found->second.next_sequence;
    restart_idle_timer(id, found->second);
    return &found->second;
}

void forwarding::handle_chunk(const forward_chunk_message& chunk)
{
    outgoing_forward* forward = accept(chunk.forward, chunk.sequence);
    if (forward == nullptr) {
        return;
    }
    // Copied, since the sink may cancel the forward, which destroys the entry that contains the sink.
    const answer_sink sink = forward->sink;
    if (!chunk.is_head) {
        sink.text({chunk.text, token_count{chunk.delivered}});
        return;
    }
    answer_head head{{chunk.model, chunk.version}, chunk.session_token, std::nullopt};
    if (!chunk.moved_from.empty()) {
        head.moved_from = version_id{chunk.model, version_name{chunk.moved_from}};
    }
    sink.start(head);
}

void forwarding::handle_end(const forward_end_message& end)
{
    if (accept(end.forward, end.sequence) == nullptr) {
        return;
    }
    auto node = outgoing_.extract(end.forward);
    dependencies_.loop->cancel(node.mapped().idle_timer);
    const answer_sink sink = std::move(node.mapped().sink);
    if (!end.failed) {
        sink.finish({end.finish_reason, token_count{end.prompt_tokens}, token_count{end.output_tokens}});
        return;
    }
    sink.fail(get_error(end));
}

void forwarding::handle_cancel(const frame& received)
{
    const auto message = decode<forward_cancel_message>(received.payload);
    if (!message) {
        return;
    }
    auto node = incoming_.extract(incoming_key{received.sender, message->forward});
    if (!node.empty() && node.mapped()) {
        node.mapped()();
    }
}

} // namespace agatespar
