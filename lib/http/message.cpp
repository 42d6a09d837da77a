// Lookup of header fields and serialisation of message heads.
#include <agatespar/http/message.h>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

namespace agatespar {

static constexpr int first_status_with_body = 200;
static constexpr int status_no_content = 204;
static constexpr int status_not_modified = 304;

bool equal_without_case(std::string_view left, std::string_view right)
{
    return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

std::optional<std::string_view> find_header(const http_headers& headers, std::string_view name)
{
    for (const http_header& header : headers) {
        if (equal_without_case(header.name, name)) {
            return header.value;
        }
    }
    return std::nullopt;
}

bool is_repeated(const http_headers& headers, std::string_view name)
{
    const auto same = [name](const http_header& header) { return equal_without_case(header.name, name); };
    return std::count_if(headers.begin(), headers.end(), same) > 1;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

/// Orders names without regard to case.
static bool precedes_without_case(std::string_view left, std::string_view right)
{
    return boost::beast::iless{}({left.data(), left.size()}, {right.data(), right.size()});
}

hop_by_hop_fields::hop_by_hop_fields(const http_headers& headers)
{
    for (const http_header& header : headers) {
        if (!equal_without_case(header.name, "connection")) {
            continue;
        }
        for (const auto token : boost::beast::http::token_list{header.value}) {
            listed_.emplace_back(token.data(), token.size());
        }
    }
    std::sort(listed_.begin(), listed_.end(), precedes_without_case);
}

bool hop_by_hop_fields::contains(std::string_view name) const
{
    static constexpr std::array<std::string_view, 10> fixed{
        "connection", "keep-alive",       "te",     "trailer",        "transfer-encoding",
        "upgrade",    "proxy-connection", "expect", "content-length", "proxy-authorization"};
    const auto same = [name](std::string_view other) { return equal_without_case(other, name); };
    return std::any_of(fixed.begin(), fixed.end(), same) ||
           std::binary_search(listed_.begin(), listed_.end(), name, precedes_without_case);
}

http_headers end_to_end_fields(const http_headers& headers)
{
    const hop_by_hop_fields excluded{headers};
    http_headers forwarded;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(forwarded),
                 [&excluded](const http_header& header) { return !excluded.contains(header.name); });
    return forwarded;
}

static void append_fields(std::string& text, const http_headers& headers)
{
    for (const http_header& header : headers) {
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    }
}

std::string write_request_head(const http_request_head& head, std::size_t body_size)
{
    std::string text;
    text.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    append_fields(text, head.headers);
    const bool bodiless = head.method == "GET" || head.method == "HEAD" || head.method == "DELETE";
    if (body_size > 0 || !bodiless) {
        text.append("Content-Length: ").append(std::to_string(body_size)).append("\r\n");
    }
    return text.append("\r\n");
}

answer_framing frame_answer(int status, const http_request_head& request, bool is_length_known)
{
    if (status < first_status_with_body || status == status_no_content || status == status_not_modified) {
        return {body_framing::none, false, true};
    }
    const bool has_body = request.method != "HEAD";
    if (is_length_known) {
        return {body_framing::length, has_body, true};
    }
    if (has_body && request.accepts_chunks) {
        return {body_framing::chunks, true, true};
    }
    return {body_framing::none, has_body, !has_body};
}

std::string write_answer_head(const http_answer_head& head, body_framing framing, std::size_t length, bool keep_alive)
{
    std::string text;
    text.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ").append(head.reason).append("\r\n");
    append_fields(text, head.headers);
    if (framing == body_framing::length) {
        text.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
    }
    if (framing == body_framing::chunks) {
        text.append("Transfer-Encoding: chunked\r\n");
    }
    if (!keep_alive) {
        text.append("Connection: close\r\n");
    }
    return text.append("\r\n");
}

std::string write_chunk(std::string_view bytes)
{
    std::array<char, 16> size{};
    const auto written = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    std::string text{size.data(), written.ptr};
    return text.append("\r\n").append(bytes).append("\r\n");
}

} // namespace agatespar
