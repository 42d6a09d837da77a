// Watches one file descriptor in the thread's default GLib main context.
#pragma once

#include <functional>
#include <memory>

namespace agatespar {

/// What a descriptor is ready for.
struct descriptor_events {
    bool readable{false};
    bool writable{false};
    /// The peer hung up, or the descriptor is in error; a read tells which.
    bool ended{false};
};

/// Calls back while a descriptor is ready. May be destroyed from within its own callback.
class descriptor_watch {
public:
    using callback = std::function<void(descriptor_events)>;

    /// @param descriptor is not owned and must outlive the watch. Nothing is waited for until wait_for() is called.
    descriptor_watch(int descriptor, callback on_ready);
    descriptor_watch(const descriptor_watch&) = delete;
    descriptor_watch& operator=(const descriptor_watch&) = delete;
    ~descriptor_watch();

    /// Sets what to wait for. A descriptor that is waited for neither way still reports its end.
    void wait_for(bool readable, bool writable);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace agatespar
