// Reads a scenario from JSON. Unknown fields and events are errors.
#include "scenario.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace agatespar::bench {

using json = nlohmann::json;

namespace {

/// Reads the fields of one JSON object and detects unknown fields, which are those that were never read.
class fields {
public:
    fields(const json& object, std::string where) : object_(object), where_(std::move(where))
    {
        if (!object_.is_object())
            throw std::invalid_argument(where_ + " is not an object");
    }

    template <class Value>
    Value required(const std::string& name)
    {
        if (!has(name))
            throw std::invalid_argument("field '" + name + "' is missing in " + where_);
        return converted<Value>(name);
    }
    template <class Value>
    void optional(const std::string& name, Value& value)
    {
        if (has(name))
            value = converted<Value>(name);
    }
    bool has(const std::string& name)
    {
        read_names_.insert(name);
        return object_.contains(name);
    }
    /// Calls the function with each item of an optional list.
    template <class Function>
    void each(const std::string& name, const Function& function)
    {
        if (!has(name))
            return;
        for (const json& item : object_.at(name))
            function(fields{item, where_ + "." + name + "[]"});
    }
    /// Calls the function with an optional object, then checks that all of its fields were read.
    template <class Function>
    void section(const std::string& name, const Function& function)
    {
        if (!has(name))
            return;
        fields inner{object_.at(name), where_ + "." + name};
        function(inner);
        inner.finish();
    }
    /// Throws std::invalid_argument if the object has a field that was not read.
    void finish() const
    {
        for (const auto& item : object_.items()) {
            if (read_names_.count(item.key()) == 0)
                throw std::invalid_argument("unknown field '" + item.key() + "' in " + where_);
        }
    }
    const std::string& where() const { return where_; }

private:
    template <class Value>
    Value converted(const std::string& name) const
    {
        try {
            return object_.at(name).get<Value>();
        }
        catch (const json::exception&) {
            throw std::invalid_argument("field '" + name + "' in " + where_ + " has the wrong type");
        }
    }

    const json& object_;
    std::string where_;
    std::set<std::string> read_names_;
};

} // namespace

static constexpr std::array<std::pair<std::string_view, event_kind>, 17> event_names{{
    {"server_turns_cold", event_kind::server_turns_cold},
    {"server_dies", event_kind::server_dies},
    {"server_leaves", event_kind::server_leaves},
    {"zone_out", event_kind::zone_out},
    {"zone_back", event_kind::zone_back},
    {"zone_cut", event_kind::zone_cut},
    {"zone_healed", event_kind::zone_healed},
    {"version_turns_bad", event_kind::version_turns_bad},
    {"share", event_kind::share},
    {"withdraw", event_kind::withdraw},
    {"backend_outage", event_kind::backend_outage},
    {"rating_down", event_kind::rating_down},
    {"rating_up", event_kind::rating_up},
    {"log_down", event_kind::log_down},
    {"log_up", event_kind::log_up},
    {"killer_request", event_kind::killer_request},
    {"rate_factor", event_kind::rate_factor},
}};

template <class Items, class Match>
static std::size_t index_of(const Items& items, const Match& match, const std::string& what)
{
    const auto found = std::find_if(items.begin(), items.end(), match);
    if (found == items.end())
        throw std::invalid_argument("unknown " + what);
    return static_cast<std::size_t>(found - items.begin());
}

static std::size_t zone_named(const scenario& s, const std::string& name)
{
    return index_of(
        s.zones, [&](const zone_spec& zone) { return zone.name == name; }, "zone '" + name + "'");
}

static std::size_t version_named(const scenario& s, fields& from)
{
    const auto model = from.required<std::string>("model");
    const auto version = from.required<std::string>("version");
    return index_of(
        s.versions, [&](const version_spec& v) { return v.model == model && v.version == version; },
        "version '" + model + "-" + version + "' in " + from.where());
}

static void read_fleet(fields& root, scenario& s)
{
    root.each("zones", [&](fields from) {
        zone_spec& zone = s.zones.emplace_back();
        zone.name = from.required<std::string>("name");
        from.optional("region", zone.region);
        from.optional("entry_vms", zone.entry_vms);
        from.optional("one_way_ms", zone.one_way_ms);
        from.finish();
    });
    root.each("classes", [&](fields from) {
        class_spec& each = s.classes.emplace_back();
        each.name = from.required<std::string>("name");
        each.share = from.required<double>("share");
        from.optional("prompt_tokens", each.prompt_tokens);
        from.optional("output_tokens", each.output_tokens);
        from.optional("deadline_s", each.deadline_s);
        from.optional("idempotent", each.idempotent);
        from.optional("streamed", each.streamed);
        from.finish();
    });
    root.each("versions", [&](fields from) {
        version_spec& version = s.versions.emplace_back();
        version.model = from.required<std::string>("model");
        version.version = from.required<std::string>("version");
        from.optional("cost_per_1k_tokens", version.cost_per_1k_tokens);
        from.optional("prefill_tokens_per_s", version.prefill_tokens_per_s);
        from.optional("decode_ms_per_token", version.decode_ms_per_token);
        from.optional("decode_slope", version.decode_slope);
        from.optional("share", version.share);
        from.section("good", [&](fields& good) {
            for (const class_spec& each : s.classes)
                version.good.push_back(good.required<double>(each.name));
        });
        version.good.resize(s.classes.size(), 1.0);
        from.finish();
    });
}

static void read_servers(fields& root, scenario& s)
{
    root.each("servers", [&](fields from) {
        server_spec server;
        server.zone = zone_named(s, from.required<std::string>("zone"));
        server.version = version_named(s, from);
        from.optional("slots", server.slots);
        const int count = from.required<int>("count");
        from.finish();
        const version_spec& version = s.versions[server.version];
        for (int i = 0; i < count; ++i) {
            server.name =
                s.zones[server.zone].name + "/" + version.model + "-" + version.version + "/" + std::to_string(i);
            s.servers.push_back(server);
        }
    });
}

static void read_load(fields& root, scenario& s)
{
    root.section("weights", [&](fields& from) {
        from.optional("latency", s.weights.latency);
        from.optional("cost", s.weights.cost);
        from.optional("exposure", s.weights.exposure);
    });
    root.section("arrivals", [&](fields& from) {
        s.rate_per_s = from.required<double>("rate_per_s");
        from.optional("burst_factor", s.burst_factor);
        from.optional("burst_s", s.burst_s);
        from.optional("every_s", s.every_s);
    });
    root.section("accounts", [&](fields& from) {
        from.optional("count", s.accounts);
        from.optional("zipf", s.account_zipf);
    });
    root.section("sessions", [&](fields& from) {
        from.optional("mean_turns", s.mean_turns);
        from.optional("think_s", s.think_s);
    });
    root.section("cold", [&](fields& from) {
        from.optional("slots", s.cold_slots);
        from.optional("warm_after_s", s.cold_warm_after_s);
        from.optional("restart_s", s.cold_restart_s);
    });
    root.section("lag", [&](fields& from) {
        from.optional("load_report_s", s.load_report_s);
        from.optional("cache_event_s", s.cache_event_s);
        from.optional("cache_event_loss", s.cache_event_loss);
    });
    root.section("rating", [&](fields& from) {
        from.optional("delay_ms", s.rating_delay_ms);
        from.optional("false_good", s.rating_false_good);
        from.optional("false_bad", s.rating_false_bad);
    });
}

static void read_event_fields(fields& from, const scenario& s, scenario_event& event)
{
    switch (event.what) {
    case event_kind::server_turns_cold:
    case event_kind::server_dies:
    case event_kind::server_leaves: {
        const auto name = from.required<std::string>("server");
        event.server = index_of(
            s.servers, [&](const server_spec& server) { return server.name == name; }, "server '" + name + "'");
        break;
    }
    case event_kind::zone_out:
    case event_kind::zone_back:
    case event_kind::zone_cut:
    case event_kind::zone_healed:
        event.zone = zone_named(s, from.required<std::string>("zone"));
        break;
    case event_kind::version_turns_bad:
        event.version = version_named(s, from);
        event.value = from.required<double>("good_factor");
        break;
    case event_kind::share:
        event.version = version_named(s, from);
        event.value = from.required<double>("share");
        break;
    case event_kind::withdraw:
        event.version = version_named(s, from);
        break;
    case event_kind::backend_outage:
        event.value = from.required<double>("fraction");
        event.for_s = from.required<double>("for_s");
        break;
    case event_kind::killer_request:
        event.resends = from.required<int>("resends");
        break;
    case event_kind::rate_factor:
        event.value = from.required<double>("factor");
        break;
    case event_kind::rating_down:
    case event_kind::rating_up:
    case event_kind::log_down:
    case event_kind::log_up:
        break;
    }
}

static void read_events(fields& root, scenario& s)
{
    root.each("events", [&](fields from) {
        scenario_event event;
        event.at_s = from.required<double>("at_s");
        const auto name = from.required<std::string>("what");
        event.what = event_names[index_of(
                                     event_names, [&](const auto& known) { return known.first == name; },
                                     "event '" + name + "'")]
                         .second;
        read_event_fields(from, s, event);
        from.finish();
        s.events.push_back(event);
    });
}

std::size_t scenario::model_of(std::size_t version) const
{
    std::vector<std::string_view> seen;
    for (std::size_t i = 0; i <= version; ++i) {
        if (std::find(seen.begin(), seen.end(), versions[i].model) == seen.end())
            seen.emplace_back(versions[i].model);
    }
    return static_cast<std::size_t>(std::find(seen.begin(), seen.end(), versions[version].model) - seen.begin());
}

static void check_sizes(const scenario& s)
{
    if (s.zones.empty() || s.versions.empty() || s.servers.empty() || s.classes.empty())
        throw std::invalid_argument("a scenario needs zones, versions, servers and classes");
    if (s.versions.size() > max_versions || s.classes.size() > max_classes)
        throw std::invalid_argument("too many versions or classes");
}

outcome<scenario> read_scenario(const std::string& path)
{
    std::ifstream file{path};
    if (!file)
        return failure(error_code::not_found, "cannot read " + path);
    try {
        const json root_object = json::parse(file);
        fields root{root_object, "the scenario"};
        scenario s;
        s.name = root.required<std::string>("name");
        s.duration_s = root.required<double>("duration_s");
        root.optional("warmup_s", s.warmup_s);
        read_fleet(root, s);
        read_servers(root, s);
        read_load(root, s);
        read_events(root, s);
        root.finish();
        check_sizes(s);
        return s;
    }
    catch (const std::exception& problem) {
        return failure(error_code::malformed, path + ": " + problem.what());
    }
}

} // namespace agatespar::bench
