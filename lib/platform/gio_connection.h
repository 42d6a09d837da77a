// One connection to an HTTP server, over TCP or TLS.
#pragma once

#include "http_target.h"

#include <gio/gio.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace agatespar {

/// How a connection ended, or why it could not be opened.
struct connection_end {
    /// The server closed the connection in an orderly way, and had taken all that was sent.
    bool is_orderly{false};
    std::string reason;
};

/// Functions that a connection calls from the loop. None is called after close() or after `ended`.
struct connection_callbacks {
    std::function<void()> opened;
    std::function<void(std::string_view bytes)> received;
    std::function<void(const connection_end& end)> ended;
};

/// Each pending asynchronous operation of GIO owns a reference to its connection.
class gio_connection : public std::enable_shared_from_this<gio_connection> {
public:
    /// @param on_closed called once, when the connection ends, is closed, or could not be opened.
    explicit gio_connection(std::function<void()> on_closed);
    gio_connection(const gio_connection&) = delete;
    gio_connection& operator=(const gio_connection&) = delete;
    ~gio_connection();

    /// Starts to open the connection. @param trusted the certificate authorities that are trusted; null for those of
    /// the operating system.
    void open(const http_origin& origin, GTlsDatabase* trusted);
    void set_callbacks(connection_callbacks callbacks);
    /// Sends bytes. The connection must be open, and the bytes of an earlier call have been sent.
    void send(std::string bytes);
    /// @return whether a part of the bytes has not been handed to the operating system.
    bool is_sending() const { return is_sending_; }
    bool is_closed() const { return is_closed_; }
    /// To be called from `received` only: nothing is read any more, until resume().
    void pause();
    /// Reads again. @return false if the server has sent anything or ended the connection since pause(); then the
    /// connection is closed.
    bool resume();
    /// Closes at once; unsent bytes are lost.
    void close();

private:
    static constexpr std::size_t max_read_bytes = std::size_t{16} * 1024;

    static void on_opened(GObject* source, GAsyncResult* result, gpointer data);
    static void on_read(GObject* source, GAsyncResult* result, gpointer data);
    static void on_written(GObject* source, GAsyncResult* result, gpointer data);

    gpointer make_reference();
    void read_more();
    void end(const connection_end& how);
    bool has_lost_output() const;

    std::function<void()> on_closed_;
    // Shared, so that a callback that closes the connection is not destroyed while it runs.
    std::shared_ptr<connection_callbacks> callbacks_;
    GCancellable* cancellable_;
    GSocketConnection* stream_{nullptr};
    // Empty while the connection is paused.
    std::vector<char> input_;
    std::string output_;
    bool is_sending_{false};
    bool is_reading_{false};
    bool is_paused_{false};
    bool is_closed_{false};
};

} // namespace agatespar
