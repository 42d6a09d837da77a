// Parses messages with Boost.Beast's incremental parser, which does no I/O.
#include <agatespar/http/message_reader.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <limits>
#include <type_traits>

namespace agatespar {

namespace beast = boost::beast;

// HTTP/1.1, in the form in which the parser reports versions.
static constexpr int http_1_1 = 11;
// Other statuses are invalid (RFC 9110, section 15). The parser accepts any three digits.
static constexpr int min_status = 100;
static constexpr int max_status = 599;

/// @return whether a message's transfer encoding, if it has one, tells where its body ends, and the body needs no
/// decoding other than that of its chunks (RFC 9112, sections 6.1 and 6.3). The parser ignores any other encoding.
/// @param may_end_at_close whether the end of the connection can delimit the body, as in answers only.
static bool has_sound_transfer_encoding(const http_headers& headers, int version, bool may_end_at_close)
{
    const auto encoding = find_header(headers, "transfer-encoding");
    if (!encoding) {
        return true;
    }
    if (version < http_1_1 || is_repeated(headers, "transfer-encoding") || find_header(headers, "content-length")) {
        return false;
    }
    return equal_without_case(*encoding, "chunked") || (may_end_at_close && equal_without_case(*encoding, "identity"));
}

template <class Head>
struct message_reader<Head>::impl final : beast::http::basic_parser<std::is_same_v<Head, http_request_head>> {
    static constexpr bool is_request = std::is_same_v<Head, http_request_head>;
    using error_type = beast::error_code;

    impl(const message_limits& limits, message_callbacks<Head> given)
        : callbacks(std::move(given)), header_bytes(limits.header_bytes)
    {
        // The reader itself limits the size of heads, independently of how they are divided.
        this->header_limit(std::numeric_limits<std::uint32_t>::max());
        this->body_limit(limits.body_bytes);
        this->eager(true);
    }

    void on_request_impl(beast::http::verb /*verb*/, beast::string_view method, beast::string_view target,
                         int message_version, error_type& /*error*/) override
    {
        version = message_version;
        if constexpr (is_request) {
            head.method.assign(method.data(), method.size());
            head.target.assign(target.data(), target.size());
        }
    }
    void on_response_impl(int status, beast::string_view reason, int message_version, error_type& error) override
    {
        if (status < min_status || status > max_status) {
            error = beast::http::error::bad_status;
            return;
        }
        version = message_version;
        if constexpr (!is_request) {
            head.status = status;
            head.reason.assign(reason.data(), reason.size());
        }
    }
    void on_field_impl(beast::http::field /*known*/, beast::string_view name, beast::string_view value,
                       error_type& /*error*/) override
    {
        if (!head_done) {
            head.headers.push_back({std::string{name.data(), name.size()}, std::string{value.data(), value.size()}});
        }
        // Trailers arrive after the head was passed to the callback. Nothing here needs them, so they are dropped.
    }
    void on_header_impl(error_type& error) override
    {
        if (!has_sound_transfer_encoding(head.headers, version, !is_request)) {
            error = beast::http::error::bad_transfer_encoding;
            return;
        }
        head_done = true;
        head.keep_alive = this->keep_alive();
        if constexpr (is_request) {
            head.accepts_chunks = version >= http_1_1;
        }
        else {
            head.close_delimited = this->need_eof();
        }
        callbacks.head(std::move(head));
    }
    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/, error_type& /*error*/) override {}
    std::size_t on_body_impl(beast::string_view bytes, error_type& /*error*/) override
    {
        callbacks.body({bytes.data(), bytes.size()});
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t size, beast::string_view /*extensions*/, error_type& /*error*/) override
    {
        chunk_bytes_left = size;
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast::string_view bytes, error_type& /*error*/) override
    {
        chunk_bytes_left -= bytes.size();
        callbacks.body({bytes.data(), bytes.size()});
        return bytes.size();
    }
    void on_finish_impl(error_type& /*error*/) override {}

    message_callbacks<Head> callbacks;
    Head head;
    int version{http_1_1};
    bool head_done{false};
    std::uint32_t header_bytes;
    /// Bytes of the head that have been parsed.
    std::size_t head_bytes{0};
    /// Bytes of the current chunk that have not been parsed; 0 at the header of a chunk.
    std::uint64_t chunk_bytes_left{0};
};

/// Divides the bytes for the parser, so that the result does not depend on how they arrived. The parser reports an
/// error in an unfinished line only if it gets the line in one piece.
/// @param head the unparsed bytes of a head, as far as the limit leaves them.
/// @return the number of bytes up to the end of the head, or of the last complete line before; 0 if there is none.
static std::size_t complete_head_lines(std::string_view head)
{
    static constexpr std::string_view line_end = "\r\n";
    if (head.starts_with(line_end)) {
        return line_end.size();
    }
    if (const std::size_t end = head.find("\r\n\r\n"); end != std::string_view::npos) {
        return end + 2 * line_end.size();
    }
    // A line may be continued on the next one, which the first character there tells.
    for (std::size_t end = head.rfind(line_end); end != std::string_view::npos && end > 0;
         end = head.rfind(line_end, end - 1)) {
        const std::size_t next = end + line_end.size();
        if (next < head.size() && head[next] != ' ' && head[next] != '\t') {
            return next + 1;
        }
    }
    return 0;
}

template <class Head>
message_reader<Head>::message_reader(const message_limits& limits, message_callbacks<Head> callbacks)
    : impl_(std::make_unique<impl>(limits, std::move(callbacks)))
{
}

template <class Head>
message_reader<Head>::~message_reader() = default;

template <class Head>
void message_reader<Head>::expect_no_body()
{
    impl_->skip(true);
}

static outcome<void> to_outcome(const beast::error_code& error)
{
    if (!error || error == beast::http::error::need_more) {
        return {};
    }
    if (error == beast::http::error::header_limit) {
        return failure(error_code::too_large, "header");
    }
    if (error == beast::http::error::body_limit) {
        return failure(error_code::too_large, "body");
    }
    return failure(error_code::malformed, error.message());
}

template <class Head>
std::size_t message_reader<Head>::parsable_bytes(std::string_view bytes) const
{
    // The shortest end of a chunked body.
    static constexpr std::size_t last_chunk_bytes = std::string_view{"0\r\n\r\n"}.size();
    if (!impl_->is_header_done()) {
        return complete_head_lines(bytes.substr(0, impl_->header_bytes - impl_->head_bytes));
    }
    if (!impl_->chunked()) {
        return bytes.size();
    }
    if (impl_->chunk_bytes_left == 0 && bytes.size() < last_chunk_bytes) {
        // The parser requires that many bytes to continue with a last chunk.
        return 0;
    }
    // The header of a chunk must end within the limit, counted from its start.
    const std::uint64_t in_chunk = std::min<std::uint64_t>(bytes.size(), impl_->chunk_bytes_left);
    return static_cast<std::size_t>(std::min<std::uint64_t>(bytes.size(), in_chunk + impl_->header_bytes));
}

template <class Head>
bool message_reader<Head>::exceeds_header_limit(std::size_t unparsed) const
{
    if (!impl_->is_header_done()) {
        return impl_->head_bytes + unparsed >= impl_->header_bytes;
    }
    const bool at_chunk_header = impl_->chunked() && impl_->chunk_bytes_left == 0;
    return at_chunk_header && unparsed >= impl_->header_bytes;
}

template <class Head>
outcome<void> message_reader<Head>::feed(std::string& input)
{
    std::size_t parsed = 0;
    outcome<void> result;
    while (result && parsed < input.size() && !impl_->is_done()) {
        const std::string_view rest = std::string_view{input}.substr(parsed);
        const std::size_t size = parsable_bytes(rest);
        const bool in_head = !impl_->is_header_done();
        beast::error_code error;
        const std::size_t taken = size == 0 ? 0 : impl_->put(boost::asio::buffer(rest.data(), size), error);
        parsed += taken;
        impl_->head_bytes += in_head ? taken : 0;
        result = to_outcome(error);
        // Of the lines that it was given, the parser leaves the first character of the next one only.
        if (result && in_head && !impl_->is_header_done() && size > taken + 1) {
            result = failure(error_code::malformed, "an incomplete line in the head");
        }
        if (taken == 0) {
            break;
        }
    }
    input.erase(0, parsed);
    if (result && !impl_->is_done() && exceeds_header_limit(input.size())) {
        return failure(error_code::too_large, "header");
    }
    return result;
}

template <class Head>
outcome<void> message_reader<Head>::feed_end()
{
    if (!impl_->got_some()) {
        return failure(error_code::malformed, "the connection ended before a message");
    }
    beast::error_code error;
    impl_->put_eof(error);
    return to_outcome(error);
}

template <class Head>
bool message_reader<Head>::is_head_done() const
{
    return impl_->is_header_done();
}

template <class Head>
bool message_reader<Head>::is_done() const
{
    return impl_->is_done();
}

template class message_reader<http_request_head>;
template class message_reader<http_answer_head>;

} // namespace agatespar
