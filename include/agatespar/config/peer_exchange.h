// Handing the fold's state from VM to VM: what a VM answers to a pull, and what it takes over from an answer.
#pragma once

#include <agatespar/config/fold.h>
#include <agatespar/config/messages.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace agatespar {

/// The latest consecutive records of the `config` stream, kept to bring peers up to date with little traffic.
class record_history {
public:
    /// Adds the record that follows the last one; a gap drops all older records.
    void add(const log_record& record);
    void clear();

    /// @return the records after an offset up to the newest, or none if one of them is not kept any more.
    std::optional<std::vector<config_record>> after(log_offset covers) const;

private:
    std::deque<config_record> records_;
    std::size_t bytes_{0};
};

/// What taking over a peer's state came to.
enum class adoption {
    /// The state moved on.
    adopted,
    /// The peer knows nothing that is new here.
    nothing_new,
    /// Records are missing between this VM's offset and the peer's; a pull gets them.
    gap,
    /// The message contradicts itself or can't be read.
    refused,
    /// The peer's configuration of the same number has another hash, which must never happen.
    hash_mismatch,
};

/// @return the answer to a peer's pull. The caller fills in the rest of the mark.
config_state answer_pull(const fold_state& state, const record_history& history, const config_pull& pull,
                         const config_mark& mark);

/// Takes over a peer's state if it is sound and newer. The number never falls, whatever the message says.
/// @param folded gets the verdicts of the records that were folded.
adoption adopt_state(fold_state& state, record_history& history, const config_state& message,
                     std::vector<fold_result>& folded);

/// Takes over a snapshot if it is newer. The number never falls.
adoption adopt_snapshot(fold_state& state, record_history& history, const fold_state& snapshot);

} // namespace agatespar
