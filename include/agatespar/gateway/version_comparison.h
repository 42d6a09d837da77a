// Compares one property of the answers of two versions, such as failures or slowness, during a roll-out.
#pragma once

#include <agatespar/gateway/fleet_records.h>
#include <agatespar/routing/answer_counts.h>
#include <agatespar/routing/version_guard.h>
#include <agatespar/support/clock.h>

#include <chrono>
#include <deque>
#include <string>

namespace agatespar {

/// Counts the answers of this VM and of others, and tests whether the target has a larger share of bad ones than the
/// versions that it replaces.
class version_comparison {
public:
    /// @param classes number of classes that routes are divided into and compared in, at most rollout_classes: several
    /// if routes may differ much in their usual share of bad answers, else one, which needs fewer answers.
    /// @param own_id identifies this VM and its start. @param window the old version's answers of this last interval
    /// are reported together with the new version's.
    version_comparison(const guard_settings& settings, std::size_t classes, std::uint64_t own_id,
                       std::chrono::milliseconds window);

    /// Counts an answer that this VM received.
    void record(const std::string& route, bool by_target, bool good, steady_time now);
    /// Merges the counts of another VM. @return whether they hold bad answers of the target that were not known.
    bool merge(std::uint64_t vm, const rollout_counts& counts);
    /// @return this VM's counts, without the old version's recent answers.
    rollout_counts own_counts() const;
    /// @return the old version's recent answers that have not been sent to the other VMs yet, and marks them as sent.
    answer_tally take_unsent_old_answers(steady_time now);
    /// Updates the verdict from all known answers.
    const guard_verdict& update() { return guard_.update(counts_, concurrent_old_answers_); }
    const guard_verdict& verdict() const { return guard_.verdict(); }

private:
    /// Answers of the old version in a short interval that starts at begin.
    struct interval_tally {
        steady_time begin;
        answer_tally answers;
    };

    void note_old_answer(bool good, steady_time now);

    std::chrono::milliseconds window_;
    answer_counts counts_;
    version_guard guard_;
    /// The old version's answers of the same intervals as the new version's, summed over this VM and the reports of
    /// other VMs.
    answer_tally concurrent_old_answers_;
    /// This VM's answers of the old version in the last `window_` that have not been sent to the other VMs.
    std::deque<interval_tally> unsent_old_answers_;
};

} // namespace agatespar
