// Event loop over the GLib main context, for running processes.
#pragma once

#include <agatespar/kernel/event_loop.h>

#include <memory>
#include <unordered_map>

namespace agatespar {

/// Identifies a file descriptor watch.
using watch_id = strong<struct watch_id_tag, unsigned>;

/// Runs timers and file descriptor watches in the thread's default GLib main context.
class glib_event_loop final : public event_loop {
public:
    glib_event_loop();
    glib_event_loop(const glib_event_loop&) = delete;
    glib_event_loop& operator=(const glib_event_loop&) = delete;
    ~glib_event_loop() override;

    const clock& time() const override { return clock_; }
    timer_id schedule(duration delay, std::function<void()> callback) override;
    void cancel(timer_id timer) override;

    /// Calls a function whenever a descriptor is readable. @return a handle for unwatch().
    watch_id watch_readable(int descriptor, std::function<void()> callback);
    void unwatch(watch_id watch);
    /// Calls a function, on the loop's thread, when the process receives a POSIX signal.
    void watch_signal(int signal_number, std::function<void()> callback);

    /// Runs until quit() is called.
    void run();
    void quit();

private:
    struct impl;

    system_clock clock_;
    std::unique_ptr<impl> impl_;
};

} // namespace agatespar
