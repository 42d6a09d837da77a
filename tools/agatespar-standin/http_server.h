// HTTP server of the stand-ins. A request may be answered later, answered by a stream, or dropped.
#pragma once

#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace agatespar::standin {

/// A request and its answer.
class exchange : public std::enable_shared_from_this<exchange> {
public:
    exchange(SoupServerMessage* message, std::string path);
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    ~exchange();

    const std::string& path() const { return path_; }
    std::string method() const;
    std::string body() const;
    std::string header(const char* name) const;
    /// @return the value of a query parameter, or the fallback if it is missing or not a number.
    std::uint64_t query_number(const char* name, std::uint64_t fallback) const;
    /// @return the value of a query parameter, or an empty string if it is missing.
    std::string query_text(const char* name) const;

    void add_header(const char* name, const std::string& value);
    void answer(int status, const nlohmann::json& document);
    void answer_bytes(int status, const char* content_type, const std::string& bytes);
    /// Answers with an error. @param ran the reported run state, such as "not_run" or "ran".
    void refuse(int status, const std::string& message, const std::string& ran = "not_run");
    void begin_events();
    void send_event(const nlohmann::json& data);
    /// Sends a text as one chunk of the stream, without framing it as an event.
    void send_text(const std::string& text);
    void end_events();
    /// @return the number of events that have not been written to the connection yet.
    std::size_t unwritten_events() const { return unwritten_events_; }
    /// Closes the connection, also if the answer is incomplete.
    void drop();
    /// @return whether the request can still be answered.
    bool is_open() const { return open_; }

private:
    static void on_finished(SoupServerMessage* message, gpointer data);
    static void on_wrote_chunk(SoupServerMessage* message, gpointer data);

    SoupServerMessage* message_;
    std::string path_;
    bool open_{true};
    std::size_t unwritten_events_{0};
};

using exchange_handler = std::function<void(const std::shared_ptr<exchange>&)>;

class http_server {
public:
    explicit http_server(exchange_handler handler);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Listens on an IP address. @param port zero selects a free port, which restart() uses again.
    /// @return whether it succeeded.
    bool listen(const std::string& address, std::uint16_t port);
    /// Simulates a crash: closes the listening socket and all connections with an open request.
    void stop();
    /// Listens again on the previous address and port.
    bool restart() { return listen(address_, port_); }
    std::uint16_t port() const { return port_; }

private:
    static void handle(SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query,
                       gpointer data);

    exchange_handler handler_;
    SoupServer* server_;
    std::string address_;
    std::uint16_t port_{0};
    std::set<std::weak_ptr<exchange>, std::owner_less<>> exchanges_;
};

} // namespace agatespar::standin
