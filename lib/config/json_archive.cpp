// Checks of scalar JSON values against the schema, and detection of duplicate members.
#include "json_archive.h"

#include <agatespar/config/patch.h>
#include <agatespar/support/json.h>

#include <algorithm>

namespace agatespar {

void schema_problem::report(const std::string& where, std::string why)
{
    if (found) {
        return;
    }
    found = true;
    path = where.empty() ? "/" : where;
    reason = std::move(why);
}

bool is_name(std::string_view text)
{
    const auto fits = [](unsigned char c) {
        return c > ' ' && c != 0x7f && c != '/' && c != '@' && c != '"' && c != '\\';
    };
    return !text.empty() && text.size() <= max_name_bytes && std::all_of(text.begin(), text.end(), fits);
}

bool read_text(const nlohmann::json& value, std::string& target, const text_bounds& bounds, const std::string& path,
               schema_problem& problem)
{
    if (!value.is_string()) {
        problem.report(path, "must be a string");
        return false;
    }
    target = value.get<std::string>();
    if (bounds.name && !is_name(target)) {
        problem.report(path, "must be a name: 1 to " + std::to_string(max_name_bytes) +
                                 " bytes without spaces, '/', '@', quotes and backslashes");
        return false;
    }
    if (std::any_of(target.begin(), target.end(), [](unsigned char c) { return c < ' ' || c == 0x7f; })) {
        problem.report(path, "contains control characters");
        return false;
    }
    if (target.size() > bounds.bytes) {
        problem.report(path, "is longer than " + std::to_string(bounds.bytes) + " bytes");
        return false;
    }
    return true;
}

bool read_flag(const nlohmann::json& value, bool& target, const std::string& path, schema_problem& problem)
{
    if (!value.is_boolean()) {
        problem.report(path, "must be true or false");
        return false;
    }
    target = value.get<bool>();
    return true;
}

static std::string describe(const number_bounds& bounds)
{
    return "must lie between " + nlohmann::json(bounds.low).dump() + " and " + nlohmann::json(bounds.high).dump();
}

bool read_number(const nlohmann::json& value, double& target, const number_bounds& bounds, const std::string& path,
                 schema_problem& problem)
{
    if (!value.is_number()) {
        problem.report(path, "must be a number");
        return false;
    }
    target = value.get<double>();
    if (!(target >= bounds.low && target <= bounds.high)) {
        problem.report(path, describe(bounds));
        return false;
    }
    return true;
}

bool read_integer(const nlohmann::json& value, std::uint64_t& target, const number_bounds& bounds,
                  const std::string& path, schema_problem& problem)
{
    if (!value.is_number_integer()) {
        problem.report(path, "must be a whole number");
        return false;
    }
    if (!value.is_number_unsigned() || value.get<double>() < bounds.low || value.get<double>() > bounds.high) {
        problem.report(path, describe(bounds));
        return false;
    }
    target = value.get<std::uint64_t>();
    return true;
}

json_reader::json_reader(const nlohmann::json& object, std::string path, schema_problem& problem)
    : object_(object), path_(std::move(path)), problem_(problem)
{
    if (!object.is_object()) {
        problem.report(path_, "must be an object");
    }
}

const nlohmann::json* json_reader::find(const char* name)
{
    known_names_.insert(name);
    if (!object_.is_object()) {
        return nullptr;
    }
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
}

void json_reader::finish()
{
    if (!object_.is_object()) {
        return;
    }
    for (const auto& [name, member] : object_.items()) {
        if (!known_names_.contains(name)) {
            problem_.report(path_ + "/" + name, "is not a known field");
        }
    }
}

namespace {

// Receives the parser's events and collects the member names of each open object.
struct duplicate_finder {
    std::vector<std::set<std::string>> open;
    std::string duplicate;

    bool operator()(int, nlohmann::json::parse_event_t event, const nlohmann::json& parsed)
    {
        using parse_event = nlohmann::json::parse_event_t;
        if (event == parse_event::object_start) {
            open.emplace_back();
        }
        if (event == parse_event::object_end) {
            open.pop_back();
        }
        if (event == parse_event::key && !open.back().insert(parsed.get<std::string>()).second && duplicate.empty()) {
            duplicate = parsed.get<std::string>();
        }
        return true;
    }
};

} // namespace

outcome<nlohmann::json> parse_unique_json(std::string_view text, std::size_t max_bytes, std::size_t max_depth)
{
    outcome<nlohmann::json> bounded = parse_json(text, {max_bytes, max_depth});
    if (!bounded) {
        return bounded;
    }
    duplicate_finder finder;
    nlohmann::json document = nlohmann::json::parse(text, std::ref(finder));
    if (!finder.duplicate.empty()) {
        return failure(error_code::malformed, "the field \"" + finder.duplicate + "\" appears twice in one object");
    }
    return document;
}

} // namespace agatespar
