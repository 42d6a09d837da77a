// The deterministic fold of the `config` stream: each VM that folds the same records reaches the same state.
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

/// How many verdicts the fold remembers, so that a re-sent patch learns its first one.
inline constexpr std::size_t max_remembered_verdicts = 512;
/// Longer reasons are cut in the remembered verdicts.
inline constexpr std::size_t max_remembered_reason_bytes = 200;

/// The largest snapshot: a configuration of max_config_items and the remembered verdicts fit into it.
inline constexpr std::size_t max_snapshot_bytes = 1'900'000;

enum class verdict_kind {
    accepted,
    /// The patch was written against another number than the current one.
    conflict,
    /// The result would not be a valid configuration.
    invalid,
    /// The record is no patch.
    malformed,
    /// The record needs newer fold rules; nothing is folded from here on.
    too_new,
};

/// What became of one patch.
struct patch_verdict {
    patch_id id;
    std::string author;
    verdict_kind kind{verdict_kind::malformed};
    /// Of an accepted patch its own number, else the current number at the verdict.
    config_number number;
    /// Why it was not accepted, for people.
    std::string reason;

    friend bool operator==(const patch_verdict&, const patch_verdict&) = default;
};

/// The result of folding one record.
struct fold_result {
    patch_verdict verdict;
    /// The patch had a verdict already, which is repeated here; nothing changed.
    bool repeated{false};
};

/// All that a VM knows after folding the stream up to an offset.
struct fold_state {
    /// The last folded offset.
    log_offset covers;
    std::shared_ptr<const configuration> current{std::make_shared<const configuration>()};
    /// The latest verdicts, oldest first.
    std::deque<patch_verdict> verdicts;
    /// The rules that a record at covers + 1 asks for, once the fold has stopped there; else 0.
    std::uint32_t stopped_by_rules{0};
};

/// Folds one record into the state. It depends on nothing but its arguments.
/// @param record must follow the state: offsets that were trimmed away in between are the reader's business.
fold_result fold(fold_state& state, const log_record& record);

/// @return the remembered verdict of a patch, or null.
const patch_verdict* find_verdict(const fold_state& state, const patch_id& id);

/// @return "accepted", "conflict", ... for people and scripts.
std::string_view to_string(verdict_kind kind);

/// A state as it stands in the `config-snapshot` stream.
struct config_snapshot {
    fold_state state;
    /// When it was written, by the writer's calendar.
    wall_time written_at;
};

/// @return the snapshot as one JSON record.
std::string format_snapshot(const config_snapshot& snapshot);

/// @param text untrusted JSON. @return the snapshot, malformed, or conflict if it was folded by newer rules.
outcome<config_snapshot> parse_snapshot(std::string_view text);

} // namespace agatespar
