// The side of the ledger that each VM carries: gets a key's claim from the partition's owner and reports how it ended.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/ledger/dispatch_guard.h>
#include <agatespar/ledger/ledger_messages.h>
#include <agatespar/ledger/ledger_settings.h>

#include <cstdint>
#include <functional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>

namespace agatespar {

/// What the caller says of its submission of a key.
enum class submission {
    /// The caller sent this key never before, or the VM made the key itself.
    first,
    /// The caller may have sent the key before, and an earlier submission may have run or still run.
    possibly_repeated,
};

/// A request that may run at most once.
struct claim_order {
    ledger_key key;
    wall_time key_time;
    request_id request;
    request_fingerprint fingerprint;
    submission sent{submission::possibly_repeated};
    /// How long the caller's deadline lets the claim take.
    std::chrono::milliseconds patience{5000};
};

/// Either the right to dispatch, or the first run's answer.
using claim_result = std::variant<granted_claim, stored_outcome>;
using claim_callback = std::function<void(outcome<claim_result>)>;

/// What is known of a key.
struct key_report {
    ledger_verdict state{ledger_verdict::not_claimed};
    /// Of a finished key.
    stored_outcome result;
};
using key_report_callback = std::function<void(outcome<key_report>)>;

struct claim_client_counters {
    std::uint64_t granted{0};
    std::uint64_t repeats_answered{0};
    std::uint64_t refused{0};
    std::uint64_t outcome_unknown{0};
    std::uint64_t expired_before_dispatch{0};
    std::uint64_t late_verdicts{0};
    std::uint64_t asks{0};
    std::uint64_t unconfirmed_records{0};
};

/// Asks owners and retries. It decides who may dispatch, and never dispatches itself.
///
/// A refusal says run_state::not_run only if that is proven for every submission of the key so far; see
/// docs/design-ledger.md.
class claim_client {
public:
    /// Sends a request to the owner of a partition. @param attempt counts from 0 and chooses another owner each time,
    /// where there is one.
    using send_function = std::function<void(ledger_partition, unsigned attempt, const ledger_request&)>;

    claim_client(event_loop& loop, boot_id self, ledger_settings settings, send_function send);
    ~claim_client();
    claim_client(const claim_client&) = delete;
    claim_client& operator=(const claim_client&) = delete;

    /// Asks for the right to dispatch. The callback comes once, never from within the call.
    void claim(const claim_order& order, claim_callback callback);
    /// Must be called immediately before the dispatch, once. On a refusal the claim is given up and abandoned.
    /// Each granted claim ends in this call or in abandon().
    outcome<void> begin_dispatch(const granted_claim& claim);
    /// Gives up a claim that provably reached no backend server, so that a repeat of the key can run.
    void abandon(const granted_claim& claim);
    /// Records how a dispatched claim ended; retries until it stands in the log or the run time is over.
    void record_outcome(const granted_claim& claim, stored_outcome result);
    /// Tells what is known of a key.
    void look_up(const ledger_key& key, wall_time key_time, std::chrono::milliseconds patience,
                 key_report_callback callback);
    /// Closes a key if no claim holds it: the state `cancelled` proves that it never ran and never will.
    void cancel(const ledger_key& key, wall_time key_time, std::chrono::milliseconds patience,
                key_report_callback callback);
    /// Takes an owner's answer.
    void on_answer(const ledger_answer& answer);

    /// @return the number of records that are not yet confirmed; a planned stop waits for zero.
    std::size_t unconfirmed() const { return asks_.size(); }
    const claim_client_counters& counters() const { return counters_; }

private:
    struct ask;

    void start_ask(ledger_operation operation, const ledger_record& record, std::chrono::milliseconds patience,
                   std::function<void(const ledger_answer&)> done);
    void send_ask(std::uint64_t ticket);
    void finish_ask(std::uint64_t ticket, const ledger_answer& answer);
    void finish_claim(const claim_order& order, const claim_record& record, steady_time deadline,
                      const ledger_answer& answer, const claim_callback& callback);
    void report_key(const ledger_answer& answer, const key_report_callback& callback);
    void abandon_claim(const ledger_key& key, claim_id id, wall_time key_time);

    event_loop& loop_;
    boot_id self_;
    ledger_settings settings_;
    send_function send_;
    std::uint64_t last_ticket_{0};
    std::unordered_map<std::uint64_t, ask> asks_;
    /// Serials of claims that hold their key and have neither been dispatched nor given up.
    std::unordered_set<std::uint64_t> dispatchable_;
    claim_client_counters counters_;
};

} // namespace agatespar
