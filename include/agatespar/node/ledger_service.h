// Runs the ledger partitions that this VM owns, and the ledger client for this VM's requests.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/ledger/claim_client.h>
#include <agatespar/ledger/claim_owner.h>
#include <agatespar/platform/log_service.h>
#include <agatespar/wire/transport.h>

#include <cstddef>
#include <map>
#include <memory>

namespace agatespar {

class membership_service;
class message_router;

/// Starts and stops partition owners as the zone's members change, and sends requests to the owners.
class ledger_service {
public:
    ledger_service(event_loop& loop, log_service log, transport& peer_transport, message_router& router,
                   membership_service& members, ledger_settings settings);

    ledger_service(const ledger_service&) = delete;
    ledger_service& operator=(const ledger_service&) = delete;
    ~ledger_service();

    /// Sets the number of zones, each with its own partition owners, that share the log's append rate.
    void set_zones(std::size_t count);
    claim_client& client() { return client_; }
    /// @return the number of claims and outcomes that are not yet stored in the log; a planned stop waits until it is
    /// zero.
    std::size_t unfinished() const;
    const std::map<ledger_partition, std::unique_ptr<claim_owner>>& owners() const { return owners_; }

private:
    /// Starts the owners of partitions that are now assigned to this VM, and removes idle ones that no longer are.
    void update_owners();
    /// @param include_own also removes idle owners of partitions that are assigned to this VM.
    void drop_idle_owners(bool include_own);
    void check_owners();
    void send(ledger_partition partition, unsigned attempt, const ledger_request& request);
    void serve(ledger_partition partition, const ledger_request& request, claim_owner::reply_function reply);
    void on_claim_request(const frame& received);
    claim_owner& owner_of_partition(ledger_partition partition);

    event_loop& loop_;
    log_service log_;
    transport& peer_transport_;
    membership_service& members_;
    ledger_settings settings_;
    claim_client client_;
    std::map<ledger_partition, std::unique_ptr<claim_owner>> owners_;
    timer_id timer_;
};

} // namespace agatespar
