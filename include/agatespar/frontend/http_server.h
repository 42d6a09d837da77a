// An HTTP server that limits the size of requests and sends complete or streamed responses.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/outcome.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace agatespar {

class event_loop;

/// Listen address, TLS files and limits of the server.
struct http_server_settings {
    /// "ip:port"; port 0 selects a free port.
    std::string listen_address;
    /// PEM files; both are set, or neither.
    std::string tls_certificate_file;
    std::string tls_key_file;
    std::size_t max_body_bytes{std::size_t{1} << 20U};
    /// Maximum time from the first byte of a connection, or the end of the previous response, to the end of a request.
    /// A connection that exceeds it is closed.
    std::chrono::seconds request_timeout{20};
    /// Beyond it, a new connection closes the one that has been idle longest, or is closed without having been read.
    std::size_t max_connections{4096};
    /// Maximum number of bytes that the bodies of requests and the unread answers of all callers hold together. A body
    /// for which there is no room is refused, and a stream whose caller does not read is ended.
    std::size_t max_held_bytes{std::size_t{256} << 20U};
    /// Maximum number of response bytes that a slow caller has not read yet. Above it, the caller is disconnected.
    std::size_t max_unsent_bytes{std::size_t{4} << 20U};
};

/// Counts since the start of the server; `open_connections` is the current number.
struct http_server_counters {
    std::uint64_t requests{0};
    std::uint64_t too_large{0};
    /// Requests whose head does not tell where they end.
    std::uint64_t undelimited{0};
    std::uint64_t timed_out{0};
    /// New connections that were closed without having been read, and idle ones that gave way to a new one.
    std::uint64_t over_connection_limit{0};
    std::uint64_t evicted_connections{0};
    /// Requests for whose body there was no room.
    std::uint64_t without_room{0};
    std::uint64_t slow_readers_disconnected{0};
    std::uint64_t open_connections{0};
};

/// One request and its response. It must be answered exactly once, by respond() or by start_stream() and
/// finish_stream(), or be aborted.
class http_exchange {
public:
    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    virtual ~http_exchange() = default;

    virtual const std::string& method() const = 0;
    /// @return the path without the query, e.g. "/v1/chat/completions".
    virtual const std::string& path() const = 0;
    virtual const std::string& body() const = 0;
    /// @return the value of a request header, or nothing if it is absent.
    virtual std::optional<std::string> header(const char* name) const = 0;

    /// Sets a response header. Must be called before the response starts.
    virtual void set_header(const char* name, const std::string& value) = 0;
    /// Sends a complete response.
    virtual void respond(int status, const char* content_type, std::string body) = 0;
    /// Starts a response whose body is sent in parts by write().
    virtual void start_stream(int status, const char* content_type) = 0;
    virtual void write(std::string piece) = 0;
    virtual void finish_stream() = 0;
    /// Closes the connection without the end of the response, so that the caller can detect that it is truncated.
    virtual void abort() = 0;
    /// Sets a callback that is called once if the caller disconnects before the response is complete.
    virtual void on_disconnect(std::function<void()> callback) = 0;
};

using exchange_handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

/// Listens on an address and passes each complete request to a handler.
class http_server {
public:
    /// Starts to listen.
    /// @return invalid_argument for a malformed address or an unusable TLS file, unavailable if the address cannot be
    /// bound.
    static outcome<std::unique_ptr<http_server>> open(event_loop& loop, const http_server_settings& settings,
                                                      exchange_handler handler);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// @return "ip:port" with the actual port.
    const std::string& address() const;
    const http_server_counters& counters() const;
    /// @return the bytes that requests and unread answers hold.
    std::size_t held() const;

private:
    struct impl;
    explicit http_server(std::unique_ptr<impl> state);

    std::unique_ptr<impl> impl_;
};

} // namespace agatespar
