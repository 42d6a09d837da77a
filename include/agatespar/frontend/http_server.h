// The HTTP server of a process: bounded requests in, whole or streamed responses out.
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

/// Where the server listens and what a request may take.
struct http_server_settings {
    /// "ip:port"; port 0 picks a free one.
    std::string listen_address;
    /// PEM files; both or neither.
    std::string tls_certificate_file;
    std::string tls_key_file;
    std::size_t max_body_bytes{std::size_t{1} << 20U};
    /// From the first byte of a connection or the end of the last answer to the end of the request.
    std::chrono::seconds request_timeout{20};
    std::size_t max_connections{4096};
    /// Response bytes that wait for a slow caller before the caller is cut off.
    std::size_t max_unsent_bytes{std::size_t{4} << 20U};
};

/// Counts since the start.
struct http_server_counters {
    std::uint64_t requests{0};
    std::uint64_t too_large{0};
    std::uint64_t timed_out{0};
    std::uint64_t over_connection_limit{0};
    std::uint64_t slow_readers_cut{0};
    std::uint64_t open_connections{0};
};

/// One request and its response. Answered exactly once, by respond() or by start_stream() and finish_stream().
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
    /// @return a request header, or nothing.
    virtual std::optional<std::string> header(const char* name) const = 0;

    /// Adds a response header; must come before the response.
    virtual void set_header(const char* name, const std::string& value) = 0;
    /// Answers at once.
    virtual void respond(int status, const char* content_type, std::string body) = 0;
    /// Starts an answer that comes in pieces.
    virtual void start_stream(int status, const char* content_type) = 0;
    virtual void write(std::string piece) = 0;
    virtual void finish_stream() = 0;
    /// Ends the connection without an end mark, so that the caller sees the answer as cut.
    virtual void abort() = 0;
    /// Calls back once if the caller goes away before the answer is written.
    virtual void on_gone(std::function<void()> callback) = 0;
};

using exchange_handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

/// Listens and hands each complete request to one handler.
class http_server {
public:
    /// Starts to listen. @return invalid_argument for a bad address or TLS file, unavailable if it can't be bound.
    static outcome<std::unique_ptr<http_server>> open(event_loop& loop, const http_server_settings& settings,
                                                      exchange_handler handler);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// @return "ip:port" with the port that was picked.
    const std::string& address() const;
    const http_server_counters& counters() const;

private:
    struct impl;
    explicit http_server(std::unique_ptr<impl> state);

    std::unique_ptr<impl> impl_;
};

} // namespace agatespar
