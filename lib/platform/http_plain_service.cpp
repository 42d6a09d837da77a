// Client of plain services over HTTP.
#include "json_answer.h"

#include <agatespar/platform/http_plain_service.h>

namespace agatespar {

static constexpr std::string_view attempt_header = "X-Attempt-Id";

static http_request make_call(const plain_call& call)
{
    http_request request;
    request.method = "POST";
    request.url = call.server_url + "/v1/methods/" + escape_segment(call.method);
    request.body = call.body;
    request.timeout = call.timeout;
    request.fresh_connection = !call.idempotent;
    request.headers.push_back({std::string{attempt_header}, std::to_string(call.attempt.value())});
    if (call.key) {
        request.headers.push_back({"Idempotency-Key", call.key->value()});
    }
    if (call.fence) {
        request.headers.push_back({"X-Fencing-Number", std::to_string(call.fence->value())});
    }
    if (!call.traceparent.empty()) {
        request.headers.push_back({"traceparent", call.traceparent});
    }
    return request;
}

static outcome<plain_answer> read_answer(outcome<http_response> answer, attempt_id attempt)
{
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    // An answer to another attempt is no evidence about this one, not even if it is a refusal.
    if (answer->head.find_header(attempt_header) != std::to_string(attempt.value())) {
        return malformed_answer("the answer belongs to another attempt");
    }
    if (answer->head.status < 200 || answer->head.status > 299) {
        return tl::make_unexpected(read_error_answer(answer->head, answer->body));
    }
    return plain_answer{attempt, std::move(answer->body)};
}

plain_service_client make_http_plain_service(const http_client& client)
{
    plain_service_client service;
    service.call = [client](const plain_call& call, plain_callback callback) {
        client.send(make_call(call),
                    [callback = std::move(callback), attempt = call.attempt](outcome<http_response> answer) {
                        callback(read_answer(std::move(answer), attempt));
                    });
    };
    return service;
}

} // namespace agatespar
