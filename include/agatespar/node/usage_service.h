// Runs this VM's usage outbox and, if this VM owns that role, the roll-up of usage totals.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/ledger/usage_outbox.h>
#include <agatespar/ledger/usage_reader.h>
#include <agatespar/request/usage_account.h>
#include <agatespar/wire/transport.h>

#include <memory>
#include <random>

namespace agatespar {

class membership_service;
class message_router;

/// Connects the usage outbox to the transport and the membership.
class usage_service {
public:
    usage_service(event_loop& loop, const log_service& log, transport& peer_transport, message_router& router,
                  membership_service& members, std::mt19937_64& random);

    usage_outbox& outbox() { return outbox_; }
    /// @return the functions by which requests reserve and record usage.
    usage_account account();

private:
    usage_peers make_peers();
    std::optional<boot_id> choose_holder(const std::vector<boot_id>& tried);
    template <class Message>
    void send(boot_id to, message_kind kind, const Message& message);
    void update_rollup();

    event_loop& loop_;
    transport& peer_transport_;
    membership_service& members_;
    std::mt19937_64& random_;
    usage_outbox outbox_;
    usage_rollup rollup_;
    bool owns_rollup_{false};
};

} // namespace agatespar
