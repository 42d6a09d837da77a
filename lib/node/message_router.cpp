// Dispatches frames by kind.
#include <agatespar/node/message_router.h>

#include <cassert>

namespace agatespar {

void message_router::handle(std::initializer_list<message_kind> kinds, const handler& callback)
{
    for (const message_kind kind : kinds) {
        handler& slot = handlers_[static_cast<std::uint8_t>(kind)];
        assert(!slot && "a message kind has only one handler");
        slot = callback;
    }
}

void message_router::dispatch(const frame& received)
{
    const handler& target = handlers_[static_cast<std::uint8_t>(received.kind)];
    if (!target) {
        ++unhandled_;
        return;
    }
    target(received);
}

} // namespace agatespar
