// Passes each received frame to the service that handles its kind.
#pragma once

#include <agatespar/wire/frame.h>
#include <agatespar/wire/message_kind.h>

#include <array>
#include <cstdint>
#include <functional>
#include <initializer_list>

namespace agatespar {

/// Maps message kinds to handlers.
class message_router {
public:
    using handler = std::function<void(const frame&)>;

    /// Sets the handler of one or more kinds that have none yet.
    void handle(std::initializer_list<message_kind> kinds, const handler& callback);
    /// Calls the handler of the frame's kind. A frame of a kind without a handler is counted and dropped.
    void dispatch(const frame& received);

    std::uint64_t unhandled() const { return unhandled_; }

private:
    std::array<handler, UINT8_MAX + 1> handlers_;
    std::uint64_t unhandled_{0};
};

} // namespace agatespar
