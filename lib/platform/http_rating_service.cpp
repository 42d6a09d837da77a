// Client of the rating service over HTTP.
#include "json_answer.h"

#include <agatespar/platform/http_rating_service.h>

namespace agatespar {

static outcome<rating> read_rating(const outcome<http_response>& answer)
{
    const auto document = read_json_answer(answer);
    if (!document) {
        return tl::make_unexpected(document.error());
    }
    const std::string name = string_field(*document, "rating");
    if (name == "good") {
        return rating::good;
    }
    if (name == "bad") {
        return rating::bad;
    }
    return malformed_answer("the rating is neither \"good\" nor \"bad\"");
}

rating_service make_http_rating_service(const http_client& client, const std::string& base_url)
{
    rating_service service;
    service.rate = [client, base_url](const rating_request& request, rating_callback callback) {
        http_request call;
        call.method = "POST";
        call.url = base_url + "/v1/ratings";
        call.timeout = request.timeout;
        call.body = nlohmann::json{{"request", request.request_text},
                                   {"answer", request.answer_text},
                                   {"fleet", request.version.model.fleet.value()},
                                   {"model", request.version.model.name.value()},
                                   {"version", request.version.version.value()},
                                   {"class", request.request_class}}
                        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        client.send(std::move(call), [callback = std::move(callback)](const outcome<http_response>& answer) {
            callback(read_rating(answer));
        });
    };
    return service;
}

} // namespace agatespar
