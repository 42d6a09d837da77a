// Client of the ledger, one per VM: obtains claims from the owners of the partitions and records the outcomes.
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

/// Whether the key of a request may have been submitted before, as stated by the caller.
enum class submission {
    /// The caller has not submitted this key before, or the VM generated the key itself.
    first,
    /// The caller may have submitted the key before; an earlier submission may have run or may still be running.
    possibly_repeated,
};

/// Parameters of a claim of the right to run a request, which may run at most once per key.
struct claim_order {
    ledger_key key;
    wall_time key_time;
    request_id request;
    request_fingerprint fingerprint;
    submission submission_kind{submission::possibly_repeated};
    /// Maximum time to obtain the claim, from the caller's deadline.
    std::chrono::milliseconds timeout{5000};
};

/// Either the right to dispatch the request, or the stored answer of the run that already took place.
using claim_result = std::variant<granted_claim, stored_outcome>;
using claim_callback = std::function<void(outcome<claim_result>)>;

/// Result of a look-up or a cancel.
struct key_report {
    ledger_verdict state{ledger_verdict::not_claimed};
    /// Set if `state` is `finished`.
    stored_outcome result;
};
using key_report_callback = std::function<void(outcome<key_report>)>;

/// Event counts of one client.
struct claim_client_counters {
    std::uint64_t granted{0};
    /// Claims that were answered with the stored outcome of an earlier submission.
    std::uint64_t repeats_answered{0};
    /// Claims that were sent and failed with run_state::not_run, and those that failed with run_state::outcome_unknown.
    std::uint64_t refused{0};
    std::uint64_t outcome_unknown{0};
    std::uint64_t expired_before_dispatch{0};
    /// Answers of owners to requests that had ended already.
    std::uint64_t late_answers{0};
    std::uint64_t requests_sent{0};
    /// Abandonments and outcomes that no owner confirmed before the time-out, so that the log may lack them.
    std::uint64_t unconfirmed_records{0};
};

/// Sends requests to the owners and retries them. Decides whether a request may be dispatched; does not dispatch it.
///
/// An error of claim() or begin_dispatch() has run_state::not_run only if no submission of this request with this key
/// can have run so far: the key is cancelled, or was claimed for a request with a different content, or the request was
/// not dispatched and the caller stated that this is its first submission. Another error has
/// run_state::outcome_unknown.
class claim_client {
public:
    /// Sends a request to an owner of a partition. @param attempt counts from 0; each attempt selects another owner, if
    /// there is one.
    using send_function = std::function<void(ledger_partition, unsigned attempt, const ledger_request&)>;

    claim_client(event_loop& loop, boot_id self, ledger_settings settings, send_function send);
    ~claim_client();
    claim_client(const claim_client&) = delete;
    claim_client& operator=(const claim_client&) = delete;

    /// Requests the right to dispatch. The callback is called once, never from within this call.
    void claim(const claim_order& order, claim_callback callback);
    /// Must be called once, immediately before the dispatch. If it fails because the claim has expired, the claim is
    /// abandoned. Each granted claim must be passed either to this function or to abandon().
    /// @return an error if the request must not be dispatched.
    outcome<void> begin_dispatch(const granted_claim& claim);
    /// Abandons a claim whose request provably reached no backend server, so that a later submission of the key can
    /// run.
    void abandon(const granted_claim& claim);
    /// Records the outcome of a dispatched claim; retries until the record is in the log or
    /// `ledger_settings::max_run_time` has passed.
    void record_outcome(const granted_claim& claim, stored_outcome result);
    /// Reports the state of a key.
    void look_up(const ledger_key& key, wall_time key_time, std::chrono::milliseconds timeout,
                 key_report_callback callback);
    /// Closes a key unless a claim holds it. The state `cancelled` proves that the request has not run and never will.
    void cancel(const ledger_key& key, wall_time key_time, std::chrono::milliseconds timeout,
                key_report_callback callback);
    /// Handles an owner's answer.
    void on_answer(const ledger_answer& answer);

    /// @return the number of requests to owners that have no final answer yet; a planned stop waits for zero.
    std::size_t unconfirmed() const { return pending_.size(); }
    const claim_client_counters& counters() const { return counters_; }

private:
    struct pending_request;

    void start_request(ledger_operation operation, const ledger_record& record, std::chrono::milliseconds timeout,
                       std::function<void(const ledger_answer&)> done);
    void send_request(std::uint64_t request_number);
    void finish_request(std::uint64_t request_number, const ledger_answer& answer);
    void finish_claim(const claim_order& order, const claim_record& record, steady_time deadline,
                      const ledger_answer& answer, const claim_callback& callback);
    void report_key(const ledger_answer& answer, const key_report_callback& callback);
    void abandon_claim(const ledger_key& key, claim_id id, wall_time key_time);

    event_loop& loop_;
    boot_id self_;
    ledger_settings settings_;
    send_function send_;
    std::uint64_t last_request_number_{0};
    std::unordered_map<std::uint64_t, pending_request> pending_;
    /// Serial numbers of granted claims that have neither been dispatched nor abandoned.
    std::unordered_set<std::uint64_t> dispatchable_;
    claim_client_counters counters_;
};

} // namespace agatespar
