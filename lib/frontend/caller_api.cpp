// Authentication, complete or streamed chat answers, and plain-service calls.
#include <agatespar/frontend/api_format.h>
#include <agatespar/frontend/caller_api.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/request/request_id.h>

#include <string_view>

namespace agatespar {

static constexpr std::string_view chat_path = "/v1/chat/completions";
static constexpr std::string_view services_path = "/v1/services/";
static constexpr std::string_view outcomes_segment = "outcomes/";
static constexpr std::string_view bearer_prefix = "Bearer ";
static constexpr std::size_t max_key_length = 128;

void respond_error(http_exchange& exchange, const error& problem, const request_id& id)
{
    if (problem.retry_after) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*problem.retry_after);
        exchange.set_header("Retry-After", std::to_string(seconds.count()));
    }
    exchange.set_header("X-Request-Id", id.value());
    exchange.respond(http_status_of(problem.code, problem.ran), "application/json", format_error(problem, id));
}

static outcome<client_account_id> authenticate(const caller_api_dependencies& dependencies,
                                               const http_exchange& exchange)
{
    const auto credential = exchange.header("Authorization");
    if (!credential || !credential->starts_with(bearer_prefix)) {
        return failure(error_code::unauthenticated, "the Authorization header with a bearer key is missing");
    }
    const std::string_view key = std::string_view{*credential}.substr(bearer_prefix.size());
    const auto config = dependencies.config();
    const client_account_id* account = find_account_by_key_hash(*config, hash_key(key));
    if (account == nullptr) {
        return failure(error_code::unauthenticated, "no client account has this key");
    }
    return *account;
}

/// @return a sink that collects the answer and responds once it is complete.
static answer_sink make_collecting_sink(const std::shared_ptr<http_exchange>& exchange, const request_id& id)
{
    struct collected {
        answer_head head;
        std::string text;
    };
    auto answer = std::make_shared<collected>();
    answer_sink sink;
    sink.start = [answer](const answer_head& head) { answer->head = head; };
    sink.text = [answer](const answer_text& piece) { answer->text += piece.text; };
    sink.finish = [answer, exchange, id](const answer_end& end) {
        exchange->set_header("X-Request-Id", id.value());
        exchange->respond(200, "application/json", format_completion(id, answer->head, answer->text, end));
    };
    sink.fail = [exchange, id](const error& problem) { respond_error(*exchange, problem, id); };
    return sink;
}

/// @return a sink that writes each part of the answer as a server-sent event.
static answer_sink make_stream_sink(const std::shared_ptr<http_exchange>& exchange, const request_id& id)
{
    auto head = std::make_shared<std::optional<answer_head>>();
    answer_sink sink;
    sink.start = [head, exchange, id](const answer_head& started) {
        *head = started;
        exchange->set_header("X-Request-Id", id.value());
        exchange->set_header("X-Agatespar-Session", started.session_token);
        exchange->start_stream(200, "text/event-stream");
    };
    sink.text = [head, exchange, id](const answer_text& piece) {
        exchange->write(format_text_event(id, **head, piece.text));
    };
    sink.finish = [head, exchange, id](const answer_end& end) {
        exchange->write(format_end_events(id, **head, end));
        exchange->finish_stream();
    };
    sink.fail = [head, exchange, id](const error& problem) {
        if (!*head) {
            respond_error(*exchange, problem, id);
            return;
        }
        exchange->write(format_error_event(problem, id));
        exchange->finish_stream();
    };
    return sink;
}

static void handle_chat(const caller_api_dependencies& dependencies, const std::shared_ptr<http_exchange>& exchange,
                        const request_id& id, client_account_id account)
{
    auto request = parse_chat_request(exchange->body());
    if (!request) {
        respond_error(*exchange, request.error(), id);
        return;
    }
    request->id = id;
    request->account = std::move(account);
    request->traceparent = exchange->header("traceparent").value_or("");
    if (const auto session = exchange->header("X-Agatespar-Session"); session && request->session_token.empty()) {
        request->session_token = *session;
    }
    answer_sink sink = request->streamed ? make_stream_sink(exchange, id) : make_collecting_sink(exchange, id);
    const stop_request stop = dependencies.run_chat(*std::move(request), std::move(sink));
    exchange->on_disconnect(stop);
}

static outcome<service_request> make_service_request(const http_exchange& exchange, const request_id& id,
                                                     client_account_id account)
{
    const std::string rest = exchange.path().substr(services_path.size());
    const std::size_t slash = rest.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == rest.size()) {
        return failure(error_code::not_found, "the path must be /v1/services/{service}/{method}");
    }
    service_request request;
    request.id = id;
    request.account = std::move(account);
    request.service = service_name{rest.substr(0, slash)};
    request.method = rest.substr(slash + 1);
    request.body = exchange.body();
    request.key_time = exchange.header("Idempotency-Time").value_or("");
    request.traceparent = exchange.header("traceparent").value_or("");
    request.first_submission = exchange.header("Idempotency-First") == "true";
    if (const auto key = exchange.header("Idempotency-Key")) {
        if (key->empty() || key->size() > max_key_length) {
            return failure(error_code::invalid_argument, "header Idempotency-Key must have 1 to 128 characters");
        }
        request.key = idempotency_key{*key};
    }
    return request;
}

static void answer_service(const std::shared_ptr<http_exchange>& exchange, const request_id& id,
                           const outcome<service_answer>& answer)
{
    if (!answer) {
        respond_error(*exchange, answer.error(), id);
        return;
    }
    exchange->set_header("X-Request-Id", id.value());
    exchange->set_header("X-Agatespar-Repeated", answer->repeated ? "true" : "false");
    exchange->respond(200, "application/json", answer->body);
}

static void handle_service(const caller_api_dependencies& dependencies, const std::shared_ptr<http_exchange>& exchange,
                           const request_id& id, client_account_id account)
{
    auto request = make_service_request(*exchange, id, std::move(account));
    if (!request) {
        respond_error(*exchange, request.error(), id);
        return;
    }
    const auto callback = [exchange, id](const outcome<service_answer>& answer) {
        answer_service(exchange, id, answer);
    };
    if (exchange->method() == "POST") {
        dependencies.run_service(*std::move(request), callback);
        return;
    }
    if (!request->method.starts_with(outcomes_segment)) {
        respond_error(*exchange, {error_code::not_found, "use POST for calls", run_state::not_run, {}}, id);
        return;
    }
    request->key = idempotency_key{request->method.substr(outcomes_segment.size())};
    if (exchange->method() == "DELETE") {
        dependencies.cancel_key(*request, callback);
        return;
    }
    dependencies.look_up_outcome(*request, callback);
}

bool handle_caller_request(const caller_api_dependencies& dependencies, const std::shared_ptr<http_exchange>& exchange)
{
    const bool is_chat = exchange->path() == chat_path;
    const bool is_service = exchange->path().starts_with(services_path);
    if (!is_chat && !is_service) {
        return false;
    }
    const request_id id = make_request_id(dependencies.loop->time().wall_now(), *dependencies.random);
    if (is_chat && exchange->method() != "POST") {
        respond_error(*exchange, {error_code::invalid_argument, "use POST", run_state::not_run, std::nullopt}, id);
        return true;
    }
    if (!dependencies.accepts_requests()) {
        respond_error(*exchange,
                      {error_code::unavailable, "this VM does not accept new requests", run_state::not_run,
                       std::chrono::milliseconds{1000}},
                      id);
        return true;
    }
    auto account = authenticate(dependencies, *exchange);
    if (!account) {
        respond_error(*exchange, account.error(), id);
        return true;
    }
    if (const auto taken = dependencies.consume_rate(*account); !taken) {
        respond_error(*exchange, taken.error(), id);
        return true;
    }
    if (is_chat) {
        handle_chat(dependencies, exchange, id, *std::move(account));
        return true;
    }
    handle_service(dependencies, exchange, id, *std::move(account));
    return true;
}

} // namespace agatespar
