// Quality estimates, cascade plans and roll-out guards, separately for each fleet.
#include <agatespar/request/answer_quality.h>
#include <agatespar/support/hash.h>
#include <agatespar/wire/codec.h>

#include <algorithm>

namespace agatespar {

// Lengths that are assumed for the answers of a class until some were counted.
static constexpr double assumed_output_tokens = 200.0;
static constexpr double assumed_mean_tokens = 500.0;
static constexpr std::size_t max_imported_counts = 4096;

namespace {

/// One VM's counts of one fleet. `ratings` holds pairs of good and bad ratings; `traffic` holds triples of answers,
/// prompt tokens and output tokens.
struct version_counts_message {
    boot_id vm;
    fleet_name fleet;
    std::uint64_t layout{0};
    std::vector<std::uint64_t> ratings;
    std::vector<std::uint64_t> traffic;
    MSGPACK_DEFINE_ARRAY(vm, fleet, layout, ratings, traffic)
};

} // namespace

void answer_quality::apply_configuration()
{
    std::map<fleet_name, fleet_state> next;
    for (const auto& [name, settings] : table_.config().fleets) {
        fleet_state state = make_state(name, settings);
        const auto known = fleets_.find(name);
        if (known != fleets_.end() && known->second.layout == state.layout) {
            state.counts = std::move(known->second.counts);
            state.estimates = std::move(known->second.estimates);
            state.traffic = std::move(known->second.traffic);
            state.planner = std::move(known->second.planner);
        }
        make_guards(state);
        next.emplace(name, std::move(state));
    }
    fleets_ = std::move(next);
}

answer_quality::fleet_state answer_quality::make_state(const fleet_name& fleet, const fleet_settings& settings) const
{
    fleet_state state;
    std::string layout;
    for (const auto& [name, class_settings] : settings.classes) {
        if (state.classes.size() == max_classes) {
            break;
        }
        state.classes.push_back(name);
        state.traits.push_back({class_settings.may_hold, assumed_mean_tokens, 1.0});
        layout += name.value() + "\n";
    }
    const routing_view& view = table_.view();
    for (std::size_t i = 0; i < view.versions.size(); ++i) {
        const route_target& target = table_.target_at(version_index{static_cast<std::uint8_t>(i)});
        if (target.version) {
            state.versions.set(i, target.version->model.fleet == fleet);
            layout += to_string(*target.version) + "\n";
        }
    }
    state.layout = stable_hash(layout);
    state.counts.emplace(self_, view.versions.size(), state.classes.size());
    state.estimates.emplace(view.versions.size(), state.classes.size(), rating_errors{});
    state.traffic.emplace(self_, state.classes.size());
    state.planner.emplace(cascade_settings{}, state.classes.size());
    return state;
}

/// Creates a guard for each version, which compares it with the version of its model that has the largest share.
void answer_quality::make_guards(fleet_state& state) const
{
    const routing_view& view = table_.view();
    for (std::size_t i = 0; i < view.versions.size(); ++i) {
        std::size_t incumbent = i;
        for (std::size_t k = 0; k < view.versions.size(); ++k) {
            const version_view& other = view.versions[k];
            const bool larger = other.model == view.versions[i].model && !other.withdrawn &&
                                other.share > view.versions[incumbent].share;
            incumbent = larger ? k : incumbent;
        }
        if (state.versions.test(i) && incumbent != i) {
            state.guards.emplace_back(guard_settings{}, version_index{static_cast<std::uint8_t>(i)},
                                      version_index{static_cast<std::uint8_t>(incumbent)});
        }
    }
}

const answer_quality::fleet_state* answer_quality::find(const fleet_name& fleet) const
{
    const auto found = fleets_.find(fleet);
    return found == fleets_.end() || found->second.classes.empty() ? nullptr : &found->second;
}

std::optional<class_index> answer_quality::index_of(const fleet_state& state, const request_class_name& name) const
{
    const auto found = std::find(state.classes.begin(), state.classes.end(), name);
    if (found == state.classes.end()) {
        return std::nullopt;
    }
    return class_index{static_cast<std::uint8_t>(found - state.classes.begin())};
}

std::optional<serving_plan> answer_quality::plan(const plan_inputs& inputs, std::mt19937_64& random) const
{
    const fleet_state* state = find(inputs.fleet);
    const auto index = state == nullptr ? std::nullopt : index_of(*state, inputs.request_class);
    if (!index) {
        return std::nullopt;
    }
    const plan_request request{*index, inputs.session_hash, inputs.remaining, inputs.both_steps, inputs.may_hold};
    return state->planner->plan(request, rating_available_, random);
}

version_set answer_quality::fallback(const fleet_name& fleet) const
{
    const fleet_state* state = find(fleet);
    return state == nullptr ? version_set{} : state->planner->strong_versions();
}

token_count answer_quality::expected_output(const fleet_name& fleet, const request_class_name& request_class) const
{
    const fleet_state* state = find(fleet);
    const auto index = state == nullptr ? std::nullopt : index_of(*state, request_class);
    const double mean =
        index ? state->traffic->mean_output_tokens(*index, assumed_output_tokens) : assumed_output_tokens;
    return token_count{static_cast<std::uint64_t>(mean)};
}

void answer_quality::record_rating(const version_id& version, const request_class_name& request_class, bool good)
{
    const auto found = fleets_.find(version.model.fleet);
    const auto position = table_.index_of(route_target{version, std::nullopt});
    if (found == fleets_.end() || !position) {
        return;
    }
    if (const auto index = index_of(found->second, request_class)) {
        found->second.counts->record(*position, *index, good);
    }
}

void answer_quality::record_traffic(const fleet_name& fleet, const request_class_name& request_class,
                                    token_count prompt, token_count output)
{
    const auto found = fleets_.find(fleet);
    if (found == fleets_.end()) {
        return;
    }
    if (const auto index = index_of(found->second, request_class)) {
        found->second.traffic->record(*index, prompt.value(), output.value());
    }
}

std::vector<guard_change> answer_quality::tick()
{
    std::vector<guard_change> changes;
    for (auto& [name, state] : fleets_) {
        if (state.classes.empty()) {
            continue;
        }
        for (version_guard& guard : state.guards) {
            const version_id version = *table_.target_at(guard.candidate()).version;
            const bool stopped = guard.update(*state.counts).stop;
            if (table_.set_stopped_by_guard(version, stopped)) {
                const auto name_of = [this](version_index index) {
                    return to_string(*table_.target_at(index).version);
                };
                changes.push_back({version, stopped, explain_as_sentence(guard, name_of)});
            }
        }
        state.estimates->update(*state.counts);
        for (std::size_t i = 0; i < state.traits.size(); ++i) {
            const class_index index{static_cast<std::uint8_t>(i)};
            state.traits[i].mean_tokens = state.traffic->mean_tokens(index, assumed_mean_tokens);
            state.traits[i].traffic = static_cast<double>(state.traffic->total(index).answers) + 1.0;
        }
        state.planner->refresh(table_.view(), state.versions, *state.estimates, state.traits);
    }
    return changes;
}

std::string answer_quality::export_counts(const fleet_name& fleet) const
{
    const fleet_state* state = find(fleet);
    if (state == nullptr) {
        return {};
    }
    version_counts_message message{self_, fleet, state->layout, {}, {}};
    for (const answer_tally& tally : state->counts->own_row()) {
        message.ratings.push_back(tally.good);
        message.ratings.push_back(tally.bad);
    }
    for (const class_tally& tally : state->traffic->own_row()) {
        message.traffic.insert(message.traffic.end(), {tally.answers, tally.prompt_tokens, tally.output_tokens});
    }
    return encode(message);
}

void answer_quality::import_counts(std::string_view bytes)
{
    const auto message = decode<version_counts_message>(bytes);
    if (!message || message->vm == self_ || message->ratings.size() > max_imported_counts) {
        return;
    }
    const auto found = fleets_.find(message->fleet);
    if (found == fleets_.end() || found->second.layout != message->layout) {
        return;
    }
    std::vector<answer_tally> ratings;
    for (std::size_t i = 0; i + 1 < message->ratings.size(); i += 2) {
        ratings.push_back({message->ratings[i], message->ratings[i + 1]});
    }
    std::vector<class_tally> traffic;
    for (std::size_t i = 0; i + 2 < message->traffic.size(); i += 3) {
        traffic.push_back({message->traffic[i], message->traffic[i + 1], message->traffic[i + 2]});
    }
    found->second.counts->merge(message->vm, ratings);
    found->second.traffic->merge(message->vm, traffic);
}

} // namespace agatespar
