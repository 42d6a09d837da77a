// Client of inference engines over HTTP; they stream answers as server-sent events.
#include "completion_stream.h"
#include "json_answer.h"

#include <agatespar/platform/http_engine.h>

#include <memory>

namespace agatespar {

namespace {

struct completion_call {
    completion_stream answer;
    cancel_handle cancel;
};

} // namespace

static nlohmann::json versions_to_json(const std::vector<engine_version>& versions)
{
    nlohmann::json list = nlohmann::json::array();
    for (const engine_version& version : versions) {
        list.push_back({{"model", version.model.value()}, {"version", version.version.value()}});
    }
    return list;
}

static http_request make_completion_call(const engine_request& request)
{
    nlohmann::json body{{"attempt", request.attempt.value()},
                        {"request", request.request.value()},
                        {"model", request.version.model.value()},
                        {"version", request.version.version.value()},
                        {"max_tokens", request.max_tokens},
                        {"resume_from", request.resume_from.value()},
                        {"session", request.session},
                        {"priority", request.priority},
                        {"stream", true}};
    if (request.fence) {
        body["fence"] = request.fence->value();
    }
    http_request call;
    call.method = "POST";
    call.url = request.server_url + "/v1/completions";
    call.timeout = request.head_timeout;
    call.idle_timeout = request.idle_timeout;
    call.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    // The conversation is validated and inserted unchanged. If it is not valid JSON, null is sent, which the engine
    // rejects.
    call.body.pop_back();
    call.body += R"(,"messages":)";
    call.body += nlohmann::json::accept(request.messages_json) ? request.messages_json : "null";
    call.body += '}';
    if (!request.traceparent.empty()) {
        call.headers.push_back({"traceparent", request.traceparent});
    }
    return call;
}

// Closes the connection once no more of the answer is needed.
static void stop_if_ended(const std::shared_ptr<completion_call>& call)
{
    if (call->answer.ended() && call->cancel) {
        call->cancel();
    }
}

static cancel_handle start_completion(const http_client& client, const engine_request& request,
                                      engine_callbacks callbacks, std::size_t max_event_bytes)
{
    auto call = std::make_shared<completion_call>(completion_call{
        completion_stream{request.attempt, request.resume_from, std::move(callbacks), max_event_bytes}, {}});
    http_stream_callbacks events;
    events.on_head = [call](const http_head& head) { call->answer.handle_head(head); };
    events.on_bytes = [call](std::string_view bytes) {
        call->answer.handle_bytes(bytes);
        stop_if_ended(call);
    };
    events.on_end = [call](const outcome<void>& result) { call->answer.handle_close(result); };
    call->cancel = client.stream(make_completion_call(request), std::move(events));
    return [weak_call = std::weak_ptr<completion_call>(call)] {
        if (const auto locked_call = weak_call.lock()) {
            locked_call->answer.abandon();
            locked_call->cancel();
        }
    };
}

static outcome<load_report> read_load(const outcome<http_response>& answer)
{
    const auto document = read_json_answer(answer);
    if (!document) {
        return tl::make_unexpected(document.error());
    }
    load_report report;
    report.start = server_start_id{number_field(*document, "start")};
    if (report.start.value() == 0) {
        return malformed_answer("the load report has no start id");
    }
    report.age = std::chrono::milliseconds{number_field(*document, "age_ms")};
    report.running = static_cast<std::uint32_t>(number_field(*document, "running"));
    report.queued = static_cast<std::uint32_t>(number_field(*document, "queued"));
    report.slots = static_cast<std::uint32_t>(number_field(*document, "slots"));
    report.warm = bool_field(*document, "warm");
    report.leaving = bool_field(*document, "leaving");
    for (const nlohmann::json& version : array_field(*document, "versions")) {
        report.versions.push_back(
            {model_name{string_field(version, "model")}, version_name{string_field(version, "version")}});
    }
    for (const nlohmann::json& prefix : array_field(*document, "cached_prefixes")) {
        if (prefix.is_number_unsigned()) {
            report.cached_prefixes.push_back(prefix.get<std::uint64_t>());
        }
    }
    return report;
}

static outcome<order_receipt> read_receipt(const outcome<http_response>& answer)
{
    const auto document = read_json_answer(answer);
    if (!document) {
        return tl::make_unexpected(document.error());
    }
    order_receipt receipt{server_start_id{number_field(*document, "start")}, std::nullopt};
    if (document->contains("newest_fence")) {
        receipt.newest_fence = fencing_number{number_field(*document, "newest_fence")};
    }
    return receipt;
}

engine_client make_http_engine(const http_client& client, http_engine_settings settings)
{
    engine_client engine;
    engine.start_completion = [client, settings](const engine_request& request, engine_callbacks callbacks) {
        return start_completion(client, request, std::move(callbacks), settings.max_event_bytes);
    };
    engine.poll_load = [client, settings](const std::string& server_url, load_callback callback) {
        http_request call;
        call.url = server_url + "/v1/load";
        call.timeout = settings.load_timeout;
        client.send(std::move(call), [callback = std::move(callback)](const outcome<http_response>& answer) {
            callback(read_load(answer));
        });
    };
    engine.send_order = [client, settings](const engine_order& order, order_callback callback) {
        http_request call;
        call.method = "POST";
        call.url = order.server_url + "/v1/orders";
        call.timeout = settings.order_timeout;
        call.body = nlohmann::json{{"versions", versions_to_json(order.versions)},
                                   {"role", order.role},
                                   {"fence", order.fence.value()}}
                        .dump();
        client.send(std::move(call), [callback = std::move(callback)](const outcome<http_response>& answer) {
            callback(read_receipt(answer));
        });
    };
    return engine;
}

} // namespace agatespar
