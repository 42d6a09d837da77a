// The parts of an HTTP/1.1 message that the router forwards: the head and the bytes of the body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatespar {

/// One header field as received.
struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

/// Header fields in the order received; names are case-insensitive.
using http_headers = std::vector<http_header>;

/// @return the value of the first field with a name, or nothing.
std::optional<std::string_view> find_header(const http_headers& headers, std::string_view name);
/// @return whether a name occurs more than once.
bool is_repeated(const http_headers& headers, std::string_view name);
/// @return whether two names or tokens are equal, ignoring case.
bool equal_without_case(std::string_view left, std::string_view right);
/// @return the unsigned decimal number if the complete text is one, or nothing.
std::optional<std::uint64_t> parse_number(std::string_view text);

struct http_request_head {
    std::string method;
    /// Path and query exactly as the client sent them, neither decoded nor normalised.
    std::string target;
    http_headers headers;
    bool keep_alive{true};
    /// The client knows chunked bodies, that is HTTP/1.1.
    bool accepts_chunks{true};
};

struct http_answer_head {
    int status{0};
    std::string reason;
    http_headers headers;
    bool keep_alive{true};
    /// The body has neither a length nor chunks and ends when the connection is closed.
    bool close_delimited{false};
};

/// @return whether a status is a success (2xx), or a server error (5xx) (RFC 9110, section 15).
constexpr bool is_success(int status)
{
    return status >= 200 && status < 300;
}
constexpr bool is_server_failure(int status)
{
    return status >= 500;
}
/// @return whether a status tells the client that its request was not run and never will be, so that the client may
/// repeat any request: 408, 421, 429 or 503. RFC 9110 and RFC 6585 define them as refusals to process the request; the
/// interfaces of the router make the promise of it (docs/API.md, docs/INVARIANTS.md).
constexpr bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// The fields of a message that apply to a single connection and are not forwarded: those of RFC 9110, section 7.6.1,
/// those that the message's Connection field lists, and the framing, which the router writes itself.
class hop_by_hop_fields {
public:
    explicit hop_by_hop_fields(const http_headers& headers);
    /// Takes logarithmic time in the number of listed fields, as a peer chooses how many there are.
    bool contains(std::string_view name) const;

private:
    /// The listed names, sorted without regard to case.
    std::vector<std::string> listed_;
};

/// @return the fields of a message that are forwarded, in their order.
http_headers end_to_end_fields(const http_headers& headers);

/// How the body of a written message is framed.
enum class body_framing {
    none,
    length,
    chunks,
};

/// How an answer is delimited, by its status and its request (RFC 9112, section 6.3).
struct answer_framing {
    /// What the head announces.
    body_framing announced{body_framing::none};
    bool has_body{true};
    /// The client sees the end of the answer without the end of the connection.
    bool is_delimited{true};
};

/// @param is_length_known whether the complete body is there when the head is written.
answer_framing frame_answer(int status, const http_request_head& request, bool is_length_known);

/// @return the head of a request with a body of known size. @param body_size in bytes, written as Content-Length if the
/// method may have a body.
std::string write_request_head(const http_request_head& head, std::size_t body_size);
/// @return the head of an answer. @param length of the body in bytes, for body_framing::length.
std::string write_answer_head(const http_answer_head& head, body_framing framing, std::size_t length, bool keep_alive);
/// @return the bytes framed as one chunk of a body.
std::string write_chunk(std::string_view bytes);
/// The chunk that ends a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace agatespar
