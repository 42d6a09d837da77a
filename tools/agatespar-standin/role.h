// Interface of the stand-ins. Each simulates one service that agatespar calls, e.g. an inference engine or the log, and
// can simulate its faults.
#pragma once

#include "http_server.h"

#include <agatespar/kernel/event_loop.h>

#include <nlohmann/json.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace agatespar::standin {

/// Settings from the command line; each role uses those that apply to it.
struct role_settings {
    std::uint64_t seed{1};
    std::string fleet;
    std::string zone;
    std::string name;
    /// "model@version" each.
    std::vector<std::string> versions;
    /// Requests that a backend server runs concurrently.
    std::uint32_t slots{8};
    /// Running and queued requests above which a cold engine crashes.
    std::uint32_t cold_slots{2};
    /// Completions after which a cold engine is warm.
    std::uint32_t warm_after{8};
    /// Whether an engine is warm when the stand-in starts.
    bool warm{false};
    /// Whether an engine refuses requests and orders with an outdated fencing number.
    bool fences{false};
    /// Time for each token of a warm engine.
    std::chrono::milliseconds decode_step{5};
    std::uint32_t prefill_tokens_per_second{4000};
    /// Time until a crashed engine is up again.
    std::chrono::milliseconds restart_delay{500};
    /// Time in which an engine loads versions.
    std::chrono::milliseconds load_time{200};
    /// Time between two updates of the load report, so also its maximum age.
    std::chrono::milliseconds report_lag{100};
    /// Records that a stream of the log keeps; zero keeps all.
    std::uint64_t retained_records{0};
    /// Append calls that the log accepts per second; zero for no limit.
    std::uint32_t appends_per_second{0};
    /// Grants that the weight store gives per second.
    double grants_per_second{2.0};
};

/// The service that a stand-in simulates.
class role {
public:
    role() = default;
    role(const role&) = delete;
    role& operator=(const role&) = delete;
    virtual ~role() = default;

    /// Serves a request; an unknown path is answered with status 404.
    virtual void handle(const std::shared_ptr<exchange>& call) = 0;
    /// Sets the faults that a JSON object contains; the others do not change.
    virtual void set_faults(const nlohmann::json& faults) = 0;
    /// @return a JSON object with the role's counters, by name.
    virtual nlohmann::json counts() const = 0;
};

/// Stops the server as a crash does, and restarts it after the given time.
using crash_function = std::function<void(std::chrono::milliseconds down)>;

std::unique_ptr<role> make_log_role(event_loop& loop, const role_settings& settings);
std::unique_ptr<role> make_engine_role(event_loop& loop, const role_settings& settings, crash_function crash);
std::unique_ptr<role> make_plain_role(event_loop& loop, const role_settings& settings);
std::unique_ptr<role> make_vms_role(event_loop& loop);
std::unique_ptr<role> make_rating_role(event_loop& loop);
std::unique_ptr<role> make_store_role(event_loop& loop);
std::unique_ptr<role> make_runner_role(event_loop& loop, const role_settings& settings);
std::unique_ptr<role> make_weights_role(event_loop& loop, const role_settings& settings);

/// @return a random id for one run of a server; it does not depend on the seed, so that runs with the same seed have
/// different ids.
inline std::uint64_t new_start_id()
{
    std::random_device entropy;
    return std::uniform_int_distribution<std::uint64_t>{1}(entropy);
}

/// Sets the target from a field of the JSON object, if the object has the field.
template <class Value>
void read_field(const nlohmann::json& object, const char* name, Value& target)
{
    if (object.contains(name)) {
        target = object.at(name).get<Value>();
    }
}

inline void read_field(const nlohmann::json& object, const char* name, std::chrono::milliseconds& target)
{
    if (object.contains(name)) {
        target = std::chrono::milliseconds{object.at(name).get<std::int64_t>()};
    }
}

} // namespace agatespar::standin
