// Client of the log service over HTTP. Payloads are encoded in base64.
#include "json_answer.h"

#include <agatespar/platform/http_log.h>

#include <glib.h>

namespace agatespar {

static std::string encode_base64(const std::string& bytes)
{
    char* text = g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()), bytes.size());
    std::string encoded{text};
    g_free(text);
    return encoded;
}

static std::string decode_base64(const std::string& text)
{
    gsize size = 0;
    guchar* bytes = g_base64_decode(text.c_str(), &size);
    std::string decoded{reinterpret_cast<const char*>(bytes), size};
    g_free(bytes);
    return decoded;
}

static std::string records_url(const std::string& base_url, const stream_name& stream)
{
    return base_url + "/v1/streams/" + escape_segment(stream.value()) + "/records";
}

static outcome<append_receipt> read_receipt(const outcome<http_response>& answer)
{
    const auto document = read_json_answer(answer);
    if (!document) {
        return tl::make_unexpected(document.error());
    }
    const std::uint64_t first = number_field(*document, "first");
    if (first == 0) {
        return malformed_answer("the log's answer to an append has no offset");
    }
    return append_receipt{log_offset{first}};
}

static outcome<read_batch> read_records(const outcome<http_response>& answer, log_offset from)
{
    const auto document = read_json_answer(answer);
    if (!document) {
        return tl::make_unexpected(document.error());
    }
    read_batch batch{
        log_offset{number_field(*document, "first_retained")}, log_offset{number_field(*document, "next")}, {}};
    if (batch.first_retained.value() == 0 || batch.next < batch.first_retained) {
        return malformed_answer("the log's answer has an invalid first or next offset");
    }
    log_offset expected = std::max(from, batch.first_retained);
    for (const nlohmann::json& record : array_field(*document, "records")) {
        if (number_field(record, "offset") != expected.value() || expected >= batch.next) {
            return malformed_answer("the log's records are not consecutive");
        }
        batch.records.push_back({expected, decode_base64(string_field(record, "payload"))});
        expected = log_offset{expected.value() + 1};
    }
    return batch;
}

static http_request make_append(const std::string& base_url, const append_request& request)
{
    nlohmann::json payloads = nlohmann::json::array();
    for (const std::string& payload : request.payloads) {
        payloads.push_back(encode_base64(payload));
    }
    http_request call;
    call.method = "POST";
    call.url = records_url(base_url, request.stream);
    call.body = nlohmann::json{{"payloads", std::move(payloads)}}.dump();
    return call;
}

static http_request make_read(const std::string& base_url, const read_request& request)
{
    http_request call;
    call.url = records_url(base_url, request.stream) + "?from=" + std::to_string(request.from.value()) +
               "&limit=" + std::to_string(request.limit) + "&wait_ms=" + std::to_string(request.wait.count());
    return call;
}

log_service make_http_log(const http_client& client, const std::string& base_url, http_log_settings settings)
{
    log_service log;
    log.append = [client, base_url, settings](const append_request& request, append_callback callback) {
        http_request call = make_append(base_url, request);
        call.timeout = settings.timeout;
        client.send(std::move(call), [callback = std::move(callback)](const outcome<http_response>& answer) {
            callback(read_receipt(answer));
        });
    };
    log.read = [client, base_url, settings](const read_request& request, read_callback callback) {
        http_request call = make_read(base_url, request);
        call.timeout = settings.timeout + request.wait;
        client.send(std::move(call),
                    [callback = std::move(callback), from = request.from](const outcome<http_response>& answer) {
                        callback(read_records(answer, from));
                    });
    };
    return log;
}

} // namespace agatespar
