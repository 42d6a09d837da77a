// How the request path bills a request once.
#pragma once

#include <agatespar/ledger/usage_record.h>

#include <functional>

namespace agatespar {

/// The operations of billing, over the VM's usage outbox.
struct usage_account {
    /// Takes a place for a request's record. @return false if there is none: the request must not start.
    std::function<bool()> reserve;
    /// Gives the place of a request back that has nothing to bill.
    std::function<void()> unreserve;
    /// Bills; the callback comes when the answer's last byte may go out.
    std::function<void(usage_record, std::function<void()>)> settle;
};

} // namespace agatespar
