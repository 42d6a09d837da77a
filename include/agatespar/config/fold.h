// The deterministic fold of the `config` stream: all VMs that fold the same records reach the same state.
#pragma once

#include <agatespar/config/configuration.h>
#include <agatespar/config/patch.h>
#include <agatespar/platform/log_service.h>
#include <agatespar/support/clock.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace agatespar {

/// Number of verdicts that the fold remembers, so that a patch that is appended again gets its first verdict.
inline constexpr std::size_t max_remembered_verdicts = 512;
/// Longer reasons are truncated in the remembered verdicts.
inline constexpr std::size_t max_remembered_reason_bytes = 200;

/// Maximum size of a snapshot. A configuration of max_config_items items and the remembered verdicts fit into it.
inline constexpr std::size_t max_snapshot_bytes = 1'900'000;

enum class verdict_kind {
    accepted,
    /// The base number of the patch is not the current number.
    conflict,
    /// The result would not be a valid configuration.
    invalid,
    /// The record can't be parsed as a patch.
    malformed,
    /// The record requires newer fold rules than this program has (see fold_rules_version); the fold stops before it.
    too_new,
};

/// The outcome of one patch.
struct patch_verdict {
    patch_id id;
    std::string author;
    verdict_kind kind{verdict_kind::malformed};
    /// The number of an accepted patch, else the number that was current at the time of the verdict.
    config_number number;
    /// Human-readable reason why the patch was not accepted.
    std::string reason;

    friend bool operator==(const patch_verdict&, const patch_verdict&) = default;
};

/// The result of folding one record.
struct fold_result {
    patch_verdict verdict;
    /// The patch already had a verdict, which is returned; the configuration did not change.
    bool repeated{false};
};

/// The result of folding the stream up to an offset.
struct fold_state {
    /// The last folded offset.
    log_offset covers;
    std::shared_ptr<const configuration> current{std::make_shared<const configuration>()};
    /// The latest verdicts, oldest first.
    std::deque<patch_verdict> verdicts;
    /// The version of the fold rules that the record at covers + 1 requires, if the fold has stopped there; else 0.
    std::uint32_t stopped_by_rules{0};
};

/// Folds one record into the state. The result depends only on the arguments.
/// @param record must have a larger offset than the state. Whether records in between were trimmed is not checked here
/// but by the callers.
fold_result fold(fold_state& state, const log_record& record);

/// @return the remembered verdict of a patch, or null.
const patch_verdict* find_verdict(const fold_state& state, const patch_id& id);

/// @return "accepted", "conflict", ... as shown to operators and read by scripts.
std::string_view to_string(verdict_kind kind);

/// A state as stored in the `config-snapshot` stream.
struct config_snapshot {
    fold_state state;
    /// Time of writing, by the wall clock of the VM that wrote it.
    wall_time written_at;
};

/// @return the snapshot as one JSON record.
std::string format_snapshot(const config_snapshot& snapshot);

/// @param text untrusted JSON. @return the snapshot, malformed, too_large, or conflict if it was folded by newer
/// rules (see fold_rules_version).
outcome<config_snapshot> parse_snapshot(std::string_view text);

} // namespace agatespar
