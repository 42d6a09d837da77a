// What the platform's store says: configuration, servers, and the operator's orders, decoded into the product's types.
#pragma once

#include <agatespar/gateway/service_map.h>
#include <agatespar/support/clock.h>
#include <agatespar/support/outcome.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace agatespar {

/// A server as it describes itself.
struct server_record {
    server_name name;
    service_name service;
    std::string address;
    zone_name zone;
    /// Of the software that it runs.
    version_name version;
    std::uint32_t slots{0};
    bool leaving{false};
    std::chrono::milliseconds cold_left{0};
    /// When it started, in Unix milliseconds; another start under the same name knows nothing of before.
    std::int64_t born{0};
    std::vector<model_name> models;
};

/// The operator moves a service to another version.
struct rollout_order {
    service_name service;
    version_name target;
    std::chrono::milliseconds time{0};
};

/// How a roll-out stands; the last two are final.
enum class rollout_state {
    in_progress,
    complete,
    reverted,
};

/// What the system told the operator about a roll-out.
struct rollout_report {
    service_name service;
    version_name target;
    rollout_state state{rollout_state::in_progress};
};

/// What one VM saw of a roll-out, for the others.
struct rollout_evidence {
    /// Tells VMs and their starts apart.
    std::uint64_t vm{0};
    service_name service;
    version_name target;
    std::uint64_t target_good{0};
    std::uint64_t target_bad{0};
    std::uint64_t others_good{0};
    std::uint64_t others_bad{0};
    /// Those that were given beside the target's, lately, and not told of before.
    std::uint64_t others_good_beside{0};
    std::uint64_t others_bad_beside{0};
    /// Hashes of sessions that were under way when the order came.
    std::vector<std::uint64_t> staying;
};

/// What a record of the operator's topic is about, by its key.
struct operator_key {
    enum class subject {
        service_map,
        rollout,
        evacuation,
        unknown,
    };
    subject what{subject::unknown};
    /// The service or the zone.
    std::string name;
};

/// One record of a keyed topic. Without a value the key is dropped.
struct keyed_record {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset{0};
};

/// The newest records of a topic, a page at a time.
struct newest_page {
    std::vector<keyed_record> records;
    bool more{false};
};

/// A stretch of a topic.
struct log_stretch {
    std::vector<keyed_record> records;
    std::uint64_t end{0};
    /// The requested records are gone; the newest of each key must be read again.
    bool lost{false};
    /// The first record that is still there, if `lost`.
    std::uint64_t first{0};
};

/// How an append ended.
enum class append_result {
    done,
    /// The topic had moved on; nothing was written.
    conflict,
    /// Proven not to be written.
    refused,
    /// No answer: it may have been written, or may be later.
    unknown,
};

enum class fleet_topic {
    operator_orders,
    servers,
    reports,
    /// The system's own: what VMs saw of roll-outs.
    evidence,
    /// The system's own: which VMs there are, and the secret that they share.
    vms,
};
inline constexpr std::size_t fleet_topics = 5;

/// The calls of the platform's store that the gateway needs.
struct fleet_store {
    template <class Result>
    using callback = std::function<void(outcome<Result>)>;

    std::function<void(fleet_topic, const std::string& after, callback<newest_page>)> read_newest;
    /// @param wait how long the store may hold the call until there is a record.
    std::function<void(fleet_topic, std::uint64_t from, std::chrono::milliseconds wait, callback<log_stretch>)>
        read_from;
    /// Writes records, all or none. @param expected_end if given, only if the topic still ends there.
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
