// Incremental parser of HTTP/1.1 messages.
#pragma once

#include <agatespar/http/message.h>
#include <agatespar/support/outcome.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace agatespar {

struct message_limits {
    std::uint32_t header_bytes{16U * 1024U};
    std::uint64_t body_bytes{4U * 1024U * 1024U};
};

/// Functions that a reader calls while it parses. A callback must not destroy the reader or call feed().
template <class Head>
struct message_callbacks {
    std::function<void(Head head)> head;
    std::function<void(std::string_view bytes)> body;
};

/// Parses one message; bytes after its end stay in the caller's buffer. The result is the same however the bytes are
/// divided among calls. Ambiguous framing is malformed (RFC 9112,
/// section 6.3), which prevents request smuggling.
template <class Head>
class message_reader {
public:
    message_reader(const message_limits& limits, message_callbacks<Head> callbacks);
    message_reader(const message_reader&) = delete;
    message_reader& operator=(const message_reader&) = delete;
    ~message_reader();

    /// To be called for the answer to a HEAD request, which has no body whatever its head declares.
    void expect_no_body();
    /// Parses bytes from the front of a buffer. @param input the buffer; the parsed bytes are removed.
    /// @return malformed for invalid HTTP, too_large if a limit is exceeded; the message of the error names the limit,
    /// "header" or "body".
    outcome<void> feed(std::string& input);
    /// To be called when the peer has closed the connection in an orderly way. @return malformed if the message is
    /// incomplete.
    outcome<void> feed_end();
    bool is_head_done() const;
    bool is_done() const;

private:
    /// @return how many of the unparsed bytes the parser may be given.
    std::size_t parsable_bytes(std::string_view bytes) const;
    /// @return whether a head, or the header of a chunk with the trailers, is longer than allowed.
    bool exceeds_header_limit(std::size_t unparsed) const;

    struct impl;
    std::unique_ptr<impl> impl_;
};

using request_reader = message_reader<http_request_head>;
using answer_reader = message_reader<http_answer_head>;

} // namespace agatespar
