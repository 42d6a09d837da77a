// One HTTP call in flight over libsoup: head, chunks of the body, end, and its time-out.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/http_client.h>

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <optional>

namespace agatespar {

enum class timeout_rule {
    /// The timeout applies to the complete call.
    whole_call,
    /// The timeout applies to the head, and the idle timeout to each chunk of the body.
    each_chunk,
};

/// Each pending asynchronous operation of libsoup owns a reference to its call.
class soup_call : public std::enable_shared_from_this<soup_call> {
public:
    soup_call(event_loop& loop, http_stream_callbacks callbacks, timeout_rule rule);
    soup_call(const soup_call&) = delete;
    soup_call& operator=(const soup_call&) = delete;
    ~soup_call();

    /// Starts the call. A request that can't be sent fails in the next iteration of the loop.
    void start(SoupSession* session, const http_request& request);
    /// Cancels the call without a further callback.
    void abandon();
    /// Ends the call with a failure.
    void fail(error reason);

private:
    static void on_sent(GObject* source, GAsyncResult* result, gpointer data);
    static void on_read(GObject* source, GAsyncResult* result, gpointer data);
    static void on_starting(SoupMessage* message, gpointer data);

    bool build_message(const http_request& request);
    void read_more();
    void restart_timer(std::chrono::milliseconds timeout);
    void stop_timer();
    void finish(outcome<void> result);
    error describe(const GError* problem) const;

    event_loop& loop_;
    http_stream_callbacks callbacks_;
    timeout_rule rule_;
    std::chrono::milliseconds idle_timeout_{0};
    std::optional<timer_id> timer_;
    SoupMessage* message_{nullptr};
    GCancellable* cancellable_;
    GInputStream* body_{nullptr};
    // Set if the call was cancelled locally: the failure to report.
    std::optional<error> local_failure_;
    // Whether bytes of the request may have been sent.
    bool started_{false};
    bool done_{false};
};

/// @return the head of a received answer.
http_head read_head(SoupMessage* message);

} // namespace agatespar
