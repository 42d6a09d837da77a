// Exchange of the fold's state between VMs: the answer to a pull, and the checks before a peer's state is adopted.
#pragma once

#include <agatespar/config/fold.h>
#include <agatespar/config/messages.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace agatespar {

/// The latest consecutive records of the `config` stream, kept to update peers with little traffic.
class record_history {
public:
    /// Adds a record. If records are missing between the last one and this one, all older records are dropped.
    void add(const log_record& record);
    void clear();

    /// @return the records after an offset up to the newest, or none if one of them is no longer kept.
    std::optional<std::vector<config_record>> after(log_offset covers) const;

private:
    std::deque<config_record> records_;
    std::size_t bytes_{0};
};

/// The outcome of an attempt to adopt a peer's state.
enum class adoption_result {
    /// The state has advanced.
    adopted,
    /// The peer's state is not newer.
    not_newer,
    /// Records between this VM's offset and the peer's are missing; a pull obtains them.
    gap,
    /// The message is inconsistent or can't be parsed.
    refused,
    /// The peer's configuration has the same number but another hash, which must never happen.
    hash_mismatch,
};

/// @param mark describes the state; it is copied into the answer.
/// @return the answer to a peer's pull: the records after its offset, or a snapshot if these are no longer kept.
config_state answer_pull(const fold_state& state, const record_history& history, const config_pull& pull,
                         const config_mark& mark);

/// Adopts a peer's state if it is consistent and newer. The number never decreases, whatever the message contains.
/// @param folded receives the results of the records that were folded.
adoption_result adopt_state(fold_state& state, record_history& history, const config_state& message,
                            std::vector<fold_result>& folded);

/// Adopts a snapshot if it is newer. The number never decreases.
adoption_result adopt_snapshot(fold_state& state, record_history& history, const fold_state& snapshot);

} // namespace agatespar
