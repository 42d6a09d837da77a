// Converts the events of one engine's answer into the callbacks of one attempt.
#include "completion_stream.h"

#include "json_answer.h"

namespace agatespar {

// The rest of a longer error answer is discarded.
static constexpr std::size_t max_error_bytes = std::size_t{16} * 1024;

completion_stream::completion_stream(attempt_id attempt, token_offset resume_from, engine_callbacks callbacks,
                                     std::size_t max_event_bytes)
    : attempt_(attempt), next_offset_(resume_from), callbacks_(std::move(callbacks)), events_(max_event_bytes)
{
}

void completion_stream::fail(const error& reason)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    const engine_callbacks last = std::exchange(callbacks_, {});
    last.on_error(reason);
}

void completion_stream::handle_head(const http_head& head)
{
    head_ = head;
}

void completion_stream::handle_bytes(std::string_view bytes)
{
    if (ended_) {
        return;
    }
    if (head_.status != 200) {
        error_body_ += bytes.substr(0, max_error_bytes - error_body_.size());
        return;
    }
    const auto fed = events_.feed(bytes, [this](std::string_view data) { return handle_event(data); });
    if (!fed) {
        fail(fed.error());
    }
}

void completion_stream::handle_close(const outcome<void>& result)
{
    if (!result) {
        fail(result.error());
        return;
    }
    if (head_.status != 200) {
        fail(read_error_answer(head_, error_body_));
        return;
    }
    fail(error{error_code::unavailable, "the answer ended without an end event", run_state::outcome_unknown,
               std::nullopt});
}

bool completion_stream::handle_event(std::string_view data)
{
    const auto event = parse_json_object(data);
    if (!event) {
        fail(event.error());
        return false;
    }
    if (!event->contains("attempt") || number_field(*event, "attempt") != attempt_.value()) {
        fail(malformed_answer("the answer belongs to another attempt").value());
        return false;
    }
    const std::string type = string_field(*event, "type");
    if (type == "start") {
        callbacks_.on_start(server_start_id{number_field(*event, "start")});
    }
    else if (type == "tokens") {
        handle_tokens(*event);
    }
    else if (type == "end") {
        handle_end(*event);
    }
    else if (type == "error") {
        fail(error{error_code::unavailable, "the engine reported an error: " + string_field(*event, "message"),
                   run_state::outcome_unknown, std::nullopt});
    }
    return !ended_;
}

void completion_stream::handle_tokens(const nlohmann::json& event)
{
    engine_tokens part{token_offset{number_field(event, "offset")}, token_count{number_field(event, "count", 1)},
                       string_field(event, "text")};
    if (part.offset != next_offset_) {
        fail(malformed_answer("the answer has missing or repeated tokens").value());
        return;
    }
    next_offset_ = token_offset{next_offset_.value() + part.count.value()};
    callbacks_.on_tokens(part);
}

void completion_stream::handle_end(const nlohmann::json& event)
{
    const auto found = event.find("usage");
    const nlohmann::json usage = found == event.end() ? nlohmann::json::object() : *found;
    engine_finish finish{string_field(event, "finish_reason"),
                         {token_count{number_field(usage, "prompt_tokens")},
                          token_count{number_field(usage, "cached_tokens")},
                          token_count{number_field(usage, "completion_tokens")}}};
    if (finish.usage.completion.value() != next_offset_.value()) {
        fail(malformed_answer("the token count of the end event differs from the answer's").value());
        return;
    }
    ended_ = true;
    const engine_callbacks last = std::exchange(callbacks_, {});
    last.on_end(finish);
}

} // namespace agatespar
