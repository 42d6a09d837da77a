// Watches one file descriptor in the thread's default GLib main context.
#pragma once

#include <functional>
#include <memory>

namespace agatespar {

/// Conditions reported for a descriptor.
struct descriptor_events {
    bool readable{false};
    bool writable{false};
    /// The peer hung up or the descriptor is in an error state; a read distinguishes the two.
    bool ended{false};
};

/// Calls a function while a descriptor is ready. May be destroyed from within this callback.
class descriptor_watch {
public:
    using callback = std::function<void(descriptor_events)>;

    /// @param descriptor not owned; must stay open as long as the watch exists. @param on_ready the callback.
    /// Neither reading nor writing is watched until wait_for() is called.
    descriptor_watch(int descriptor, callback on_ready);
    descriptor_watch(const descriptor_watch&) = delete;
    descriptor_watch& operator=(const descriptor_watch&) = delete;
    ~descriptor_watch();

    /// Sets the conditions to wait for. A hang-up or an error is reported even if both are false.
    void wait_for(bool readable, bool writable);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace agatespar
