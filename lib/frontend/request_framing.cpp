// Checks the fields that delimit a request's body, as libsoup reports them.
#include "request_framing.h"

#include <agatespar/http/message.h>

#include <string_view>

namespace agatespar {

bool is_delimited(SoupServerMessage* message)
{
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    const char* encoding = soup_message_headers_get_list(headers, "Transfer-Encoding");
    const char* length = soup_message_headers_get_list(headers, "Content-Length");
    if (encoding == nullptr) {
        return length == nullptr || parse_number(length);
    }
    return length == nullptr && equal_without_case(encoding, "chunked") &&
           soup_server_message_get_http_version(message) != SOUP_HTTP_1_0;
}

bool lacks_length(SoupServerMessage* message)
{
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    const std::string_view method = soup_server_message_get_method(message);
    return (method == "POST" || method == "PUT" || method == "PATCH") &&
           soup_message_headers_get_list(headers, "Transfer-Encoding") == nullptr &&
           soup_message_headers_get_list(headers, "Content-Length") == nullptr;
}

void send_early(SoupServerMessage* message, std::string_view answer)
{
    if (GSocket* socket = soup_server_message_get_socket(message); socket != nullptr) {
        // A client that does not take these few bytes only sees the end of the connection.
        g_socket_send(socket, answer.data(), answer.size(), nullptr, nullptr);
        g_socket_shutdown(socket, FALSE, TRUE, nullptr);
    }
}

void refuse_undelimited(SoupServerMessage* message)
{
    static constexpr std::string_view answer =
        "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    if (GSocket* socket = soup_server_message_get_socket(message); socket != nullptr) {
        // A client that does not take these few bytes only sees the end of the connection.
        g_socket_send(socket, answer.data(), answer.size(), nullptr, nullptr);
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
}

} // namespace agatespar
