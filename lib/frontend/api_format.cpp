// Parses and formats chat completions and errors as JSON.
#include <agatespar/frontend/api_format.h>
#include <agatespar/http/message.h>
#include <agatespar/support/json.h>

#include <nlohmann/json.hpp>

namespace agatespar {

using nlohmann::json;

static constexpr std::uint64_t max_output_limit = 65536;
static constexpr std::int64_t max_deadline_ms = 24LL * 3600 * 1000;

static tl::unexpected<error> bad_field(const std::string& name, const std::string& reason)
{
    return failure(error_code::invalid_argument, "field '" + name + "' " + reason);
}

static outcome<std::string> read_string(const json& body, const char* name, bool required)
{
    const auto found = body.find(name);
    if (found == body.end() || found->is_null()) {
        if (required) {
            return bad_field(name, "is missing");
        }
        return std::string{};
    }
    if (!found->is_string()) {
        return bad_field(name, "must be a string");
    }
    return found->get<std::string>();
}

static outcome<std::uint64_t> read_count(const json& body, const char* name, std::uint64_t fallback,
                                         std::uint64_t limit)
{
    const auto found = body.find(name);
    if (found == body.end() || found->is_null()) {
        return fallback;
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0 || found->get<std::uint64_t>() > limit) {
        return bad_field(name, "must be a whole number from 1 to " + std::to_string(limit));
    }
    return found->get<std::uint64_t>();
}

static outcome<std::string> read_messages(const json& body)
{
    const auto found = body.find("messages");
    if (found == body.end() || !found->is_array() || found->empty()) {
        return bad_field("messages", "must be a non-empty array");
    }
    for (const json& message : *found) {
        const bool has_role = message.is_object() && message.contains("role") && message["role"].is_string();
        if (!has_role || !message.contains("content")) {
            return bad_field("messages", "must contain only objects with 'role' and 'content'");
        }
    }
    return found->dump();
}

static outcome<bool> read_flag(const json& body, const char* name)
{
    const auto found = body.find(name);
    if (found == body.end() || found->is_null()) {
        return false;
    }
    if (!found->is_boolean()) {
        return bad_field(name, "must be true or false");
    }
    return found->get<bool>();
}

/// Reads the options specific to this system, from the object "agatespar" next to the standard fields.
static outcome<void> read_options(const json& body, chat_request& request)
{
    const auto found = body.find("agatespar");
    if (found == body.end()) {
        return {};
    }
    if (!found->is_object()) {
        return bad_field("agatespar", "must be an object");
    }
    auto request_class = read_string(*found, "class", false);
    auto session = read_string(*found, "session", false);
    auto deadline = read_count(*found, "deadline_ms", 0, max_deadline_ms);
    if (!request_class || !session || !deadline) {
        return tl::make_unexpected(!request_class ? request_class.error()
                                   : !session     ? session.error()
                                                  : deadline.error());
    }
    request.request_class = *std::move(request_class);
    request.session_token = *std::move(session);
    if (*deadline > 0) {
        request.deadline = std::chrono::milliseconds{*deadline};
    }
    return {};
}

outcome<chat_request> parse_chat_request(std::string_view text)
{
    const auto body = parse_json(text);
    if (!body) {
        return tl::make_unexpected(body.error());
    }
    if (!body->is_object()) {
        return failure(error_code::malformed, "the body must be a JSON object");
    }
    auto target = read_string(*body, "model", true);
    auto messages = read_messages(*body);
    auto max_output = read_count(*body, "max_tokens", chat_request{}.max_output.value(), max_output_limit);
    auto streamed = read_flag(*body, "stream");
    if (!target) {
        return tl::make_unexpected(target.error());
    }
    if (!messages) {
        return tl::make_unexpected(messages.error());
    }
    if (!max_output) {
        return tl::make_unexpected(max_output.error());
    }
    if (!streamed) {
        return tl::make_unexpected(streamed.error());
    }
    chat_request request;
    request.target = *std::move(target);
    request.messages_json = *std::move(messages);
    request.max_output = token_count{*max_output};
    request.streamed = *streamed;
    if (auto options = read_options(*body, request); !options) {
        return tl::make_unexpected(options.error());
    }
    return request;
}

/// @return the HTTP status of an error of a request that was not run.
static int status_of_refusal(error_code code)
{
    switch (code) {
    case error_code::invalid_argument:
    case error_code::malformed:
        return 400;
    case error_code::unauthenticated:
        return 401;
    case error_code::not_allowed:
        return 403;
    case error_code::not_found:
        return 404;
    case error_code::conflict:
        return 409;
    case error_code::withdrawn:
    case error_code::expired:
        return 410;
    case error_code::too_large:
        return 413;
    case error_code::overloaded:
        return 429;
    case error_code::internal:
        return 500;
    case error_code::unavailable:
        return 503;
    case error_code::deadline_exceeded:
    case error_code::outcome_unknown:
        return 504;
    }
    return 500;
}

int http_status_of(error_code code, run_state ran)
{
    constexpr int status_bad_gateway = 502;
    const int status = status_of_refusal(code);
    return ran != run_state::not_run && promises_not_run(status) ? status_bad_gateway : status;
}

static json error_object(const error& problem, const request_id& id)
{
    json object{{"code", to_string(problem.code)},
                {"message", problem.message},
                {"ran", to_string(problem.ran)},
                {"retry_after_ms", nullptr},
                {"request_id", id.value()}};
    if (problem.retry_after) {
        object["retry_after_ms"] = problem.retry_after->count();
    }
    return {{"error", std::move(object)}};
}

/// Replaces invalid UTF-8 instead of throwing, since messages may contain untrusted input.
static std::string dump(const json& document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string format_error(const error& problem, const request_id& id)
{
    return dump(error_object(problem, id)) + "\n";
}

static json extension_of(const request_id& id, const answer_head& head)
{
    json extension{{"request_id", id.value()},
                   {"version", head.version.version.value()},
                   {"session", head.session_token},
                   {"moved_from", nullptr}};
    if (head.moved_from) {
        extension["moved_from"] = head.moved_from->version.value();
    }
    return extension;
}

static json usage_of(const answer_end& end)
{
    return {{"prompt_tokens", end.prompt_tokens.value()},
            {"completion_tokens", end.output_tokens.value()},
            {"total_tokens", end.prompt_tokens.value() + end.output_tokens.value()}};
}

std::string format_completion(const request_id& id, const answer_head& head, std::string_view text,
                              const answer_end& end)
{
    const json choice{
        {"index", 0}, {"message", {{"role", "assistant"}, {"content", text}}}, {"finish_reason", end.finish_reason}};
    return dump({{"id", id.value()},
                 {"object", "chat.completion"},
                 {"model", head.version.model.name.value()},
                 {"choices", json::array({choice})},
                 {"usage", usage_of(end)},
                 {"agatespar", extension_of(id, head)}}) +
           "\n";
}

static json chunk_object(const request_id& id, const answer_head& head, json delta, json finish_reason)
{
    const json choice{{"index", 0}, {"delta", std::move(delta)}, {"finish_reason", std::move(finish_reason)}};
    return {{"id", id.value()},
            {"object", "chat.completion.chunk"},
            {"model", head.version.model.name.value()},
            {"choices", json::array({choice})}};
}

static std::string event_of(const json& document)
{
    return "data: " + dump(document) + "\n\n";
}

std::string format_text_event(const request_id& id, const answer_head& head, std::string_view text)
{
    return event_of(chunk_object(id, head, {{"content", text}}, nullptr));
}

std::string format_end_events(const request_id& id, const answer_head& head, const answer_end& end)
{
    json last = chunk_object(id, head, json::object(), end.finish_reason);
    last["usage"] = usage_of(end);
    last["agatespar"] = extension_of(id, head);
    return event_of(last) + "data: [DONE]\n\n";
}

std::string format_error_event(const error& problem, const request_id& id)
{
    return event_of(error_object(problem, id));
}

} // namespace agatespar
