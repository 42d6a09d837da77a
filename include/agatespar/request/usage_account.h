// Interface through which the request path bills each request exactly once.
#pragma once

#include <agatespar/ledger/usage_record.h>

#include <functional>

namespace agatespar {

/// The billing operations, implemented by the VM's usage outbox.
struct usage_account {
    /// Reserves space for a request's usage record.
    /// @return false if there is no space; the request must not start then.
    std::function<bool()> reserve;
    /// Releases the reservation of a request that has nothing to bill.
    std::function<void()> unreserve;
    /// Bills a request. The callback is called when the last byte of the answer may be sent.
    std::function<void(usage_record, std::function<void()>)> settle;
};

} // namespace agatespar
