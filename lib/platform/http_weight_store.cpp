// Client of the weight store over HTTP.
#include "json_answer.h"

#include <agatespar/platform/http_weight_store.h>

namespace agatespar {

static outcome<weight_grant> read_grant(const outcome<http_response>& answer)
{
    const auto document = read_json_answer(answer);
    if (!document) {
        return tl::make_unexpected(document.error());
    }
    weight_grant grant{string_field(*document, "token"), number_field(*document, "bytes")};
    if (grant.token.empty()) {
        return malformed_answer("the weight store's grant has no token");
    }
    return grant;
}

weight_store make_http_weight_store(const http_client& client, const std::string& base_url)
{
    weight_store store;
    store.acquire = [client, base_url](const version_id& version, weight_callback callback) {
        http_request call;
        call.method = "POST";
        call.url = base_url + "/v1/grants";
        call.body = nlohmann::json{{"fleet", version.model.fleet.value()},
                                   {"model", version.model.name.value()},
                                   {"version", version.version.value()}}
                        .dump();
        client.send(std::move(call), [callback = std::move(callback)](const outcome<http_response>& answer) {
            callback(read_grant(answer));
        });
    };
    return store;
}

} // namespace agatespar
