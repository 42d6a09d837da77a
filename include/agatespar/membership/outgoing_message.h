// A message that a state machine wants sent; the daemon's transport carries it.
#pragma once

#include <agatespar/support/strong_type.h>
#include <agatespar/wire/message_kind.h>

#include <string>

namespace agatespar {

/// Where a VM listens for other VMs, as "ip:port".
using vm_address = strong<struct vm_address_tag, std::string>;

/// One encoded message and the VM it goes to. Delivery is not assured.
struct outgoing_message {
    vm_address to;
    message_kind kind{message_kind::probe};
    std::string payload;
};

} // namespace agatespar
