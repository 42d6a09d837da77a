// The parts of an HTTP/1.1 message that are forwarded: its head, and the bytes of its body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatespar {

/// One header field as it came.
struct http_header {
    std::string name;
    std::string value;
};

/// Header fields in their order; names compare without case.
using http_headers = std::vector<http_header>;

/// @return the value of the first field of a name, or nothing.
std::optional<std::string_view> find_header(const http_headers& headers, std::string_view name);
/// @return whether a name stands more than once.
bool is_repeated(const http_headers& headers, std::string_view name);
/// @return whether two names or tokens are equal without case.
bool equal_without_case(std::string_view left, std::string_view right);
/// @return the whole number that a value is, or nothing.
std::optional<std::uint64_t> parse_number(std::string_view text);

struct http_request_head {
    std::string method;
    /// Path and query exactly as the client sent them.
    std::string target;
    http_headers headers;
    bool keep_alive{true};
};

struct http_answer_head {
    int status{0};
    std::string reason;
    http_headers headers;
    bool keep_alive{true};
    /// Neither a length nor chunks: the end of the connection ends the body.
    bool ends_with_connection{false};
};

/// @return whether a status says that the request succeeded, or that the server failed (RFC 9110, section 15).
constexpr bool is_success(int status)
{
    return status >= 200 && status < 300;
}
constexpr bool is_server_failure(int status)
{
    return status >= 500;
}

/// @return whether a field concerns one connection only: those that RFC 9110 section 7.6.1 names, those that the
/// message's own Connection field lists, and the framing, which each side of the router writes anew.
bool is_hop_by_hop(const http_headers& headers, std::string_view name);

/// How a written body is framed.
enum class body_framing {
    none,
    length,
    chunks,
};

/// @return the head of a request with a body of known size. @param body_size is written if the request may have a body.
std::string write_request_head(const http_request_head& head, std::size_t body_size);
/// @return the head of an answer. @param length of the body, for framing by length.
std::string write_answer_head(const http_answer_head& head, body_framing framing, std::size_t length, bool keep_alive);
/// @return a chunk of a body, framed.
std::string write_chunk(std::string_view bytes);
/// Ends a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace agatespar
