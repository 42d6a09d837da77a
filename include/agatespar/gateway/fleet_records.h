// Decoded records of the platform's store (configuration, servers, operator's orders), and the interface of the store.
#pragma once

#include <agatespar/gateway/service_map.h>
#include <agatespar/routing/answer_counts.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/outcome.h>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace agatespar {

/// Counts the times that the store was restored from an older copy of itself. Offsets that were assigned after the copy
/// was made are assigned again, so offsets are comparable only within one era. Zero: the store has stated none.
using store_era = strong<struct store_era_tag, std::uint64_t>;

/// Identifies one record of a topic. After the store was restored, the same record may have another position.
struct log_position {
    store_era era;
    std::uint64_t offset{0};

    friend bool operator==(const log_position&, const log_position&) = default;
};

/// @return whether the offsets of two positions can be compared: they are of one era. A position without an era, as VMs
/// of an earlier version state it, counts as one of the other's.
bool are_comparable(const log_position& one, const log_position& other);
/// @return whether the first record is known to be older than the second.
bool precedes(const log_position& one, const log_position& other);

/// A server's own entry in the store.
struct server_record {
    server_name name;
    service_name service;
    std::string address;
    zone_name zone;
    /// Version of the software that the server runs.
    version_name version;
    std::uint32_t slots{0};
    /// The server is shutting down and must get no new requests.
    bool leaving{false};
    /// How long the server remains cold, that is, able to run only a limited rate of requests.
    std::chrono::milliseconds remaining_cold_time{0};
    /// Start time of the server's process, in Unix milliseconds. A process that was restarted under the same name has
    /// no state of the previous one.
    std::int64_t started_unix_ms{0};
    std::vector<model_name> models;
};

/// The operator's order to move a service to another version.
struct rollout_order {
    service_name service;
    version_name target;
    /// Time from the order to the deadline of the roll-out.
    std::chrono::milliseconds time{0};
    /// Position of the operator's record, by which a later order of the same version differs.
    log_position position{};
};

/// State of a roll-out; the last two are final.
enum class rollout_state {
    in_progress,
    complete,
    reverted,
};

/// The system's report to the operator about a roll-out.
struct rollout_report {
    service_name service;
    version_name target;
    rollout_state state{rollout_state::in_progress};
    /// Position of the order that the report is about; none in reports of VMs that run an earlier version.
    std::optional<log_position> order_position{};
    /// Versions of the service that get no requests. The store keeps the newest report only, so each report holds
    /// those of the earlier ones.
    std::vector<version_name> retired{};
};

/// Number of classes that the routes of a service are divided into during a roll-out.
inline constexpr std::size_t rollout_classes = 8;

/// Answers of one class of routes.
struct rollout_tallies {
    answer_tally target;
    answer_tally others;
};

/// Good and bad answers with regard to one property.
struct rollout_counts {
    /// The answers of the target and of the other versions, by class of route.
    std::array<rollout_tallies, rollout_classes> classes{};
    /// The other versions' recent answers, given in the same period as the target's, that were in no earlier record.
    answer_tally others_concurrent;
};

/// Counts of answers during a roll-out that one VM observed, shared with the other VMs.
struct rollout_evidence {
    /// Identifies the VM and its current run; differs after a restart.
    std::uint64_t vm{0};
    service_name service;
    version_name target;
    /// Answers that failed count as bad.
    rollout_counts failures;
    /// Answers that were slow count as bad.
    rollout_counts slowness;
    /// Hashes of the sessions that were active when the order arrived.
    std::vector<std::uint64_t> pinned_sessions;
    /// Position of the order; none in records of VMs that run an earlier version.
    std::optional<log_position> order_position{};
};

/// The subject of a record in the operator's topic, parsed from its key.
struct operator_key {
    enum class subject {
        service_map,
        rollout,
        evacuation,
        unknown,
    };
    subject what{subject::unknown};
    /// Name of the service or the zone.
    std::string name;
};

/// One record of a keyed topic. A record without a value removes the key.
struct keyed_record {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset{0};
    /// Era of the offset. Set in the records that a follower reports.
    store_era era{};
};

/// One page of the newest records of a topic.
struct newest_page {
    std::vector<keyed_record> records;
    bool more{false};
    /// The store's era, if the answer states it.
    std::optional<store_era> era{};
};

/// The records of a topic from a requested offset on.
struct log_range {
    std::vector<keyed_record> records;
    /// Offset after the last record.
    std::uint64_t end{0};
    /// The store has discarded the requested records, or has never had any from this offset on; the newest record of
    /// each key must be read again.
    bool lost{false};
    /// Offset of the first record that the store still has, if `lost`.
    std::uint64_t first{0};
    /// The store's era, if the answer states it.
    std::optional<store_era> era{};
};

/// Result of an append.
enum class append_result {
    done,
    /// The topic no longer ended at the expected offset; nothing was written.
    conflict,
    /// The records are known not to have been written.
    refused,
    /// No answer: the records may have been written, or may still be written.
    unknown,
};

enum class fleet_topic {
    operator_orders,
    servers,
    reports,
    /// The system's own: evidence of the VMs about roll-outs.
    evidence,
    /// The system's own: the list of VMs, and the secret that they share.
    vms,
};
inline constexpr std::size_t fleet_topic_count = 5;

/// The calls of the platform's store that the gateway needs.
struct fleet_store {
    template <class Result>
    using callback = std::function<void(outcome<Result>)>;

    std::function<void(fleet_topic, const std::string& after, callback<newest_page>)> read_newest;
    /// @param wait how long the store may hold the call open until a record arrives.
    std::function<void(fleet_topic, std::uint64_t from, std::chrono::milliseconds wait, callback<log_range>)> read_from;
    /// Writes all of the records or none. @param expected_end if given, writes only if the topic ends at this offset.
    std::function<void(fleet_topic, const std::vector<keyed_record>&, std::optional<std::uint64_t> expected_end,
                       std::function<void(append_result)>)>
        append;

    operator_key (*read_operator_key)(std::string_view key);
    outcome<service_map> (*read_service_map)(std::string_view text);
    outcome<server_record> (*read_server)(std::string_view key, std::string_view text);
    outcome<rollout_order> (*read_rollout)(std::string_view name, std::string_view text);
    outcome<rollout_report> (*read_report)(std::string_view key, std::string_view text);
    keyed_record (*write_report)(const rollout_report& report);
};

} // namespace agatespar
