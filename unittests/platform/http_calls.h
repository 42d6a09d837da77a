// Requests for the tests of the HTTP client.
#pragma once

#include "test_server.h"

namespace agatespar::test {

inline outcome<http_response> send(const http_client& client, const http_request& request)
{
    return wait_for<http_response>([&](const auto& callback) { client.send(request, callback); });
}

inline http_request get(const std::string& url)
{
    http_request request;
    request.url = url;
    return request;
}

inline http_request post(const std::string& url, bool fresh)
{
    http_request request = get(url);
    request.method = "POST";
    request.body = "{}";
    request.fresh_connection = fresh;
    return request;
}

} // namespace agatespar::test
