// What this VM learns of the answers' quality: plans cascades, guards roll-outs, and shares its counts with the zone.
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

/// What the plan of one chat request depends on.
struct quality_question {
    fleet_name fleet;
    request_class_name request_class;
    std::uint64_t session_hash{0};
    duration left{0};
    duration both_steps{0};
    bool may_hold{false};
};

/// A version that the guard stopped or let go on again.
struct guard_change {
    version_id version;
    bool stopped{false};
    std::string reason;
};

/// Learns from ratings, separately for each fleet.
class answer_quality {
public:
    answer_quality(server_table& table, boot_id self) : table_(table), self_(self) {}

    /// Follows a new configuration; counts are kept where the versions and classes stay the same.
    void apply_configuration();
    /// @return how to serve a request, or nothing for a class or fleet that is not known.
    std::optional<serving_plan> plan(const quality_question& question, std::mt19937_64& random) const;
    /// @return the versions that may stand in where the planned ones are full.
    version_set fallback(const fleet_name& fleet) const;

    /// @return the expected length of an answer of a class.
    token_count expected_output(const fleet_name& fleet, const request_class_name& request_class) const;

    /// Takes in one rating.
    void record_rating(const version_id& version, const request_class_name& request_class, bool good);
    /// Takes in the length of a whole answer.
    void record_traffic(const fleet_name& fleet, const request_class_name& request_class, token_count prompt,
                        token_count output);
    /// Whether the rating service answered the last time.
    void set_rating_available(bool available) { rating_available_ = available; }

    /// Learns, plans and guards anew. @return versions whose standing with the guard changed.
    std::vector<guard_change> tick();

    /// @return this VM's counts of a fleet for the others.
    std::string export_counts(const fleet_name& fleet) const;
    /// Merges another VM's counts; those of another configuration are passed over.
    void import_counts(std::string_view bytes);

private:
    /// All that is learned of one fleet.
    struct fleet_state {
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
