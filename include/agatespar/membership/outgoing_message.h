// A message that a state machine returns to its caller, who sends it over the daemon's transport.
#pragma once

#include <agatespar/support/strong_type.h>
#include <agatespar/wire/message_kind.h>

#include <string>

namespace agatespar {

/// Address at which a VM receives messages from other VMs, "ip:port".
using vm_address = strong<struct vm_address_tag, std::string>;

/// An encoded message and the address of its receiver. Delivery is not guaranteed.
struct outgoing_message {
    vm_address to;
    message_kind kind{message_kind::probe};
    std::string payload;
};

} // namespace agatespar
