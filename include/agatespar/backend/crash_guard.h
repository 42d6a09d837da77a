// Attributes crashes of backend servers to the requests that were running on them, or to a part that their prompts
// share, so that requests that crash their servers are refused before they crash further ones.
#pragma once

#include <agatespar/backend/permit.h>
#include <agatespar/membership/messages.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/ids.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace agatespar {

/// Hash of what crashes can be attributed to: a whole request or a part of a prompt.
using crash_subject = strong<struct crash_subject_tag, std::uint64_t>;

/// What may be the cause if a server crashes while it runs a certain request.
struct crash_suspects {
    /// The whole request; equal if a caller sends it again.
    crash_subject request;
    /// The parts of its prompt that other requests may have, too.
    std::vector<crash_subject> parts;
};

/// An attempt whose server crashed before it had sent anything of its answer.
struct crashed_attempt {
    crash_suspects suspects;
    /// Identifies the caller's attempt: equal if this VM sends the request again, not if the caller does.
    std::uint64_t client_attempt{0};
    /// Identifies the crash, which VMs see by different requests: a hash of the server's name and start.
    std::uint64_t crash{0};
    /// When the request was sent to the server.
    steady_time sent_at;
    /// This VM may send the request to another server; its caller can't come again meanwhile.
    bool may_be_retried{false};
};

/// How a request may be run, given the crashes that occurred while it was running.
enum class crash_verdict : std::uint8_t {
    clear = 0,
    /// Was one of several requests in flight at a crash: may run only on a server that runs nothing else.
    suspect = 1,
    /// A part of a prompt that is about to be guilty: requests with it wait until other VMs have had the time to tell
    /// that it was answered meanwhile.
    unsettled = 2,
    /// Was the only request on a server that crashed, or was in flight at two crashes: is refused. A part of a
    /// prompt is guilty if two different requests with it were in flight at crashes one after the other, and none has
    /// been answered since the first. If all of these requests had several such parts, those are guilty together:
    /// requests that have only some of them are suspects.
    guilty = 3,
};

struct crash_guard_settings {
    /// How long a verdict remains valid after it was reached or received.
    std::chrono::seconds verdict_lifetime{3600};
    /// Maximum number of verdicts that this VM stores; beyond it, the mildest is evicted, of several the one that
    /// expires first.
    std::size_t max_verdicts{512};
    /// How long the error response to a request that was in flight at a crash is delayed, so that every VM has received
    /// the verdict before the caller can send the request again.
    std::chrono::milliseconds answer_delay{1500};
    /// How long a prompt part is unsettled before it is guilty.
    std::chrono::milliseconds settling_time{1000};
    /// Number of prompt parts of answered requests that this VM remembers.
    std::size_t max_answered_parts{8192};
    /// A part that this VM has seen answered is a suspect only after this many crashes without an answer in between.
    std::uint8_t crashes_despite_answer{3};
};

/// What the VM has to do after the connection to a server broke while a request was running on it.
struct crash_notice {
    /// The new verdict, to be published as an urgent gossip item.
    gossip_item item;
    /// The verdict on the request after this crash.
    crash_verdict verdict{crash_verdict::suspect};
    /// How long to delay the error response to the caller.
    std::chrono::milliseconds answer_delay{0};
};

/// Stores the verdicts that this VM reached itself or received from other VMs.
class crash_guard {
public:
    explicit crash_guard(crash_guard_settings settings = {}) : settings_(settings) {}

    /// @return the verdict that applies to a request now; clear if there is none or it has expired.
    crash_verdict verdict(crash_subject subject, steady_time now) const;
    /// @return the most severe verdict on the request and the parts of its prompt.
    crash_verdict verdict(const crash_suspects& suspects, steady_time now) const;
    /// @return when the verdict ends for which the request is refused, or nothing if it is not refused.
    std::optional<steady_time> refused_until(const crash_suspects& suspects, steady_time now) const;
    /// Records that a server crashed while a request was running on it.
    /// @param alone whether it was the only request on the server.
    /// @param wall_now calendar time, from which the expiry of the gossip item is computed.
    /// @return the verdict, the item to publish and the delay of the error response.
    crash_notice on_crash(crash_subject request, bool alone, steady_time now, wall_time wall_now);
    /// Records a crash. If a part of the request's prompt is guilty already, the crash is explained and nothing else is
    /// suspected. Servers that crash at the same time, for whatever reason, are one piece of evidence: a further one is
    /// a request that was sent after this VM knew of the crash before.
    /// @return items to publish.
    std::vector<gossip_item> on_crash(const crashed_attempt& attempt, steady_time now, wall_time wall_now);
    /// Records that a server has begun to send its answer to a request, which clears the request and its parts.
    /// @return items to publish.
    std::vector<gossip_item> on_answer(const crash_suspects& suspects, steady_time now, wall_time wall_now);
    /// Records that a request completed as the only one on its server, which clears it if it was a suspect.
    /// @return an item to publish if it was a suspect, else nothing.
    std::optional<gossip_item> on_completed_alone(crash_subject request, steady_time now, wall_time wall_now);
    /// Applies a gossip item of kind quarantine_verdict, unless a newer version is stored.
    /// @return false if it is malformed.
    bool on_item(const gossip_item& item, steady_time now);
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        /// Crashes attributed to the request, limited to the number at which the verdict is guilty.
        std::uint8_t strikes{0};
        /// Version of the gossip item; a higher one replaces a lower one.
        std::uint64_t version{0};
        steady_time expires;
        /// Source of the last strike, as one source is only one piece of evidence: the request for a part of a prompt,
        /// the caller's attempt for a request. Zero if each strike counts.
        std::uint64_t struck_by{0};
        /// The crash of the last strike.
        std::uint64_t crash{0};
        /// For a part of a prompt: the other parts that all requests of its strikes had and that may be the cause as
        /// well.
        std::vector<crash_subject> companions;
        /// When this VM learned of the first of the strikes, and of the last.
        steady_time struck_since;
        steady_time last_struck_at;
    };
    /// Crashes of requests with a part of which answers are known, since the last answer.
    struct unanswered_crashes {
        std::uint8_t count{0};
        std::uint64_t last_crash{0};
    };
    using answered_parts = std::unordered_map<crash_subject, unanswered_crashes>;

    crash_verdict verdict_of(const entry& held, steady_time now) const;
    /// @return the verdict on a prompt part within a prompt with these parts.
    crash_verdict verdict_in_prompt(crash_subject part, const std::vector<crash_subject>& parts, steady_time now) const;
    entry* find(crash_subject subject, steady_time now);
    entry& insert_entry(crash_subject subject);
    entry& add_strike(crash_subject subject, bool alone, steady_time now);
    /// Adds a strike if the crash is evidence beside the strikes that are known.
    /// @param suspected parts that may have caused the crash as well.
    /// @return whether it is.
    bool add_evidence(crash_subject subject, std::uint64_t struck_by, const std::vector<crash_subject>& suspected,
                      const crashed_attempt& attempt, steady_time now);
    std::optional<gossip_item> clear(crash_subject subject, steady_time now, wall_time wall_now);
    /// Counts a crash against a part. @return whether the part's answers outweigh it.
    bool is_cleared_by_answers(crash_subject part, std::uint64_t crash);
    void remember_answered(crash_subject part);
    gossip_item make_item(crash_subject subject, const entry& held, wall_time wall_now) const;

    crash_guard_settings settings_;
    std::unordered_map<crash_subject, entry> entries_;
    /// The parts that were answered last, and those before them, so that old ones can be dropped together.
    answered_parts answered_;
    answered_parts answered_before_;
};

} // namespace agatespar
