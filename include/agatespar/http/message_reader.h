// Reads HTTP/1.1 messages from bytes as they arrive, one after the other.
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

/// What a reader tells while it is fed. A callback must not destroy the reader or feed it.
template <class Head>
struct message_callbacks {
    std::function<void(Head head)> head;
    std::function<void(std::string_view bytes)> body;
};

/// Reads one message; bytes beyond it stay in the caller's buffer. Framing that readers could take in two ways is
/// malformed (RFC 9112 section 6.3), so that nothing can be smuggled in a body.
template <class Head>
class message_reader {
public:
    message_reader(const message_limits& limits, message_callbacks<Head> callbacks);
    message_reader(const message_reader&) = delete;
    message_reader& operator=(const message_reader&) = delete;
    ~message_reader();

    /// The answer to a HEAD request has no body whatever its head says.
    void expect_no_body();
    /// Takes bytes from the front of a buffer. @param input loses the bytes that were taken.
    /// @return malformed for what is no HTTP, too_large past a limit; the message of the error tells which.
    outcome<void> feed(std::string& input);
    /// Tells that the connection has ended in order. @return malformed if the message was not whole.
    outcome<void> feed_end();
    bool is_head_done() const;
    bool is_done() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

using request_reader = message_reader<http_request_head>;
using answer_reader = message_reader<http_answer_head>;

} // namespace agatespar
