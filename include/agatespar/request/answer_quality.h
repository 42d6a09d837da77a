// Estimates answer quality from ratings, plans cascades, guards roll-outs, and shares this VM's counts with the zone.
#pragma once

#include <agatespar/cascade/planner.h>
#include <agatespar/cascade/traffic.h>
#include <agatespar/config/configuration.h>
#include <agatespar/request/server_table.h>
#include <agatespar/routing/answer_counts.h>
#include <agatespar/routing/version_guard.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace agatespar {

/// Inputs of the plan of one chat request.
struct plan_inputs {
    fleet_name fleet;
    request_class_name request_class;
    std::uint64_t session_hash{0};
    /// Time until the request's deadline.
    duration remaining{0};
    /// Expected time to generate the answers of both steps of a cascade.
    duration both_steps{0};
    /// Whether an answer may be withheld until it is rated.
    bool may_hold{false};
};

/// A version whose roll-out the guard stopped or resumed.
struct guard_change {
    version_id version;
    bool stopped{false};
    std::string reason;
};

/// Estimates quality from ratings, separately for each fleet.
class answer_quality {
public:
    answer_quality(server_table& table, boot_id self) : table_(table), self_(self) {}

    /// Applies a new configuration. Keeps the counts of a fleet whose versions and classes are unchanged.
    void apply_configuration();
    /// @return how to serve a request, or nothing if the class or fleet is unknown.
    std::optional<serving_plan> plan(const plan_inputs& inputs, std::mt19937_64& random) const;
    /// @return the versions that may serve if all servers of the planned versions are full.
    version_set fallback(const fleet_name& fleet) const;

    /// @return the expected length of an answer of a class.
    token_count expected_output(const fleet_name& fleet, const request_class_name& request_class) const;

    /// Records one rating.
    void record_rating(const version_id& version, const request_class_name& request_class, bool good);
    /// Records the lengths of the prompt and of a complete answer.
    void record_traffic(const fleet_name& fleet, const request_class_name& request_class, token_count prompt,
                        token_count output);
    /// Sets whether the rating service answered the latest request.
    void set_rating_available(bool available) { rating_available_ = available; }

    /// Updates the estimates, the plans and the guards.
    /// @return the versions that a guard stopped or resumed.
    std::vector<guard_change> tick();

    /// @return this VM's counts of a fleet, encoded for the other VMs of the zone.
    std::string export_counts(const fleet_name& fleet) const;
    /// Merges another VM's counts. Ignores counts whose versions or classes differ from those configured here.
    void import_counts(std::string_view bytes);

private:
    /// Counts, estimates, plans and guards of one fleet.
    struct fleet_state {
        /// Hash of the classes and versions that the counts are indexed by.
        std::uint64_t layout{0};
        std::vector<request_class_name> classes;
        std::vector<class_traits> traits;
        version_set versions;
        std::optional<answer_counts> counts;
        std::optional<quality_estimates> estimates;
        std::optional<traffic_counts> traffic;
        std::optional<cascade_planner> planner;
        std::vector<version_guard> guards;
    };

    fleet_state make_state(const fleet_name& fleet, const fleet_settings& settings) const;
    void make_guards(fleet_state& state) const;
    std::optional<class_index> index_of(const fleet_state& state, const request_class_name& name) const;
    const fleet_state* find(const fleet_name& fleet) const;

    server_table& table_;
    boot_id self_;
    bool rating_available_{true};
    std::map<fleet_name, fleet_state> fleets_;
};

} // namespace agatespar
