// Parses messages with Boost.Beast's incremental parser, which does no I/O.
#include <agatespar/http/message_reader.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <type_traits>

namespace agatespar {

namespace beast = boost::beast;

// HTTP/1.1, in the form in which the parser reports versions.
static constexpr int http_1_1 = 11;

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
        this->header_limit(limits.header_bytes);
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
    void on_response_impl(int status, beast::string_view reason, int message_version, error_type& /*error*/) override
    {
        version = message_version;
        if constexpr (!is_request) {
            head.status = status;
            head.reason.assign(reason.data(), reason.size());
        }
    }
    void on_field_impl(beast::http::field /*known*/, beast::string_view name, beast::string_view value,
                       error_type& error) override
    {
        if (!head_done) {
            head.headers.push_back({std::string{name.data(), name.size()}, std::string{value.data(), value.size()}});
            return;
        }
        // Trailers arrive after the head was passed to the callback. Nothing here needs them, so they are dropped. The
        // parser's header limit does not count them.
        trailer_bytes += name.size() + value.size();
        if (trailer_bytes > header_bytes) {
            error = beast::http::error::header_limit;
        }
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
    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/, error_type& /*error*/) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast::string_view bytes, error_type& /*error*/) override
    {
        callbacks.body({bytes.data(), bytes.size()});
        return bytes.size();
    }
    void on_finish_impl(error_type& /*error*/) override {}

    message_callbacks<Head> callbacks;
    Head head;
    int version{http_1_1};
    bool head_done{false};
    std::uint32_t header_bytes;
    std::size_t trailer_bytes{0};
};

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
outcome<void> message_reader<Head>::feed(std::string& input)
{
    while (!input.empty() && !impl_->is_done()) {
        beast::error_code error;
        const std::size_t taken = impl_->put(boost::asio::buffer(input.data(), input.size()), error);
        input.erase(0, taken);
        outcome<void> result = to_outcome(error);
        if (!result) {
            return result;
        }
        if (taken == 0) {
            break;
        }
    }
    if (!impl_->is_done() && input.size() > impl_->header_bytes) {
        // An unterminated line, such as a chunk's size or extension, which the parser's limits do not count.
        return failure(error_code::too_large, "header");
    }
    return {};
}

template <class Head>
outcome<void> message_reader<Head>::feed_end()
{
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
