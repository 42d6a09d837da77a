// Reads and writes patches as JSON.
#include "configuration_fields.h"

#include <agatespar/config/patch.h>
#include <agatespar/support/json.h>

#include <string>

namespace agatespar {

// The JSON object of an operation has the operation's name in "op", and next to it the fields of the item.
template <class Archive, class Operation>
static void id_fields(Archive& archive, const char* kind, Operation& operation)
{
    archive.required("fleet", operation.id.fleet);
    archive.required(kind, operation.id.name);
}

template <class Archive>
static void version_id_fields(Archive& archive, version_id& id)
{
    archive.required("fleet", id.model.fleet);
    archive.required("model", id.model.name);
    archive.required("version", id.version);
}

template <class Name>
constexpr const char* kind_of();
template <>
constexpr const char* kind_of<zone_name>()
{
    return "zone";
}
template <>
constexpr const char* kind_of<model_name>()
{
    return "model";
}
template <>
constexpr const char* kind_of<request_class_name>()
{
    return "class";
}
template <>
constexpr const char* kind_of<service_name>()
{
    return "service";
}
template <>
constexpr const char* kind_of<client_account_name>()
{
    return "account";
}

template <class Archive>
static void fields(Archive& archive, put_fleet& value)
{
    archive.required("fleet", value.fleet);
    archive.optional("weights", value.weights);
}

template <class Archive>
static void fields(Archive& archive, remove_fleet& value)
{
    archive.required("fleet", value.fleet);
}

template <class Archive, class Name, class Settings>
static void fields(Archive& archive, put_item<Name, Settings>& value)
{
    id_fields(archive, kind_of<Name>(), value);
    fields(archive, value.settings);
}

template <class Archive, class Name>
static void fields(Archive& archive, remove_item<Name>& value)
{
    id_fields(archive, kind_of<Name>(), value);
}

template <class Archive>
static void fields(Archive& archive, put_version& value)
{
    version_id_fields(archive, value.id);
    fields(archive, value.settings);
}

template <class Archive>
static void fields(Archive& archive, remove_version& value)
{
    version_id_fields(archive, value.id);
}

template <class Archive>
static void fields(Archive& archive, set_shares& value)
{
    id_fields(archive, kind_of<model_name>(), value);
    archive.required("shares", value.shares, share_bounds);
}

template <class Archive>
static void fields(Archive& archive, withdraw_version& value)
{
    version_id_fields(archive, value.id);
    archive.optional("successor", value.successor);
}

template <class Archive>
static void fields(Archive& archive, set_zone_in_service& value)
{
    id_fields(archive, kind_of<zone_name>(), value);
    archive.required("in_service", value.in_service);
}

// In the order of the variant's alternatives.
static constexpr std::array<const char*, std::variant_size_v<patch_operation>> operation_names{
    "put_fleet",    "remove_fleet", "put_zone",       "remove_zone", "set_zone_in_service", "put_model",
    "remove_model", "put_version",  "remove_version", "set_shares",  "withdraw_version",    "put_class",
    "remove_class", "put_service",  "remove_service", "put_account", "remove_account"};

template <std::size_t Index = 0>
static patch_operation empty_operation(std::size_t index)
{
    if constexpr (Index + 1 < std::variant_size_v<patch_operation>) {
        if (index != Index) {
            return empty_operation<Index + 1>(index);
        }
    }
    return patch_operation{std::in_place_index<Index>};
}

static void read_operation(const nlohmann::json& value, const std::string& path, std::vector<patch_operation>& target,
                           schema_problem& problem)
{
    json_reader reader{value, path, problem};
    std::string name;
    reader.required("op", name);
    const auto* const known = std::find(operation_names.begin(), operation_names.end(), name);
    if (known == operation_names.end()) {
        problem.report(path + "/op", "\"" + name + "\" is not a known operation");
        return;
    }
    patch_operation operation = empty_operation(static_cast<std::size_t>(known - operation_names.begin()));
    std::visit([&reader](auto& typed) { fields(reader, typed); }, operation);
    reader.finish();
    target.push_back(std::move(operation));
}

static void read_operations(const nlohmann::json& document, patch& target, schema_problem& problem)
{
    const auto list = document.find("operations");
    if (list == document.end() || !list->is_array() || list->empty()) {
        problem.report("/operations", "must be an array of at least one operation");
        return;
    }
    if (list->size() > max_patch_operations) {
        problem.report("/operations", "holds more than " + std::to_string(max_patch_operations) + " operations");
        return;
    }
    for (std::size_t i = 0; i < list->size() && !problem.found; ++i) {
        read_operation((*list)[i], "/operations/" + std::to_string(i), target.operations, problem);
    }
}

outcome<patch> parse_patch(std::string_view text, std::string_view source)
{
    const std::string where{source};
    const outcome<nlohmann::json> document = parse_unique_json(text, max_patch_bytes, max_patch_depth);
    if (!document) {
        return failure(document.error().code, where + ": /: " + document.error().message);
    }
    schema_problem problem;
    patch result;
    json_reader reader{*document, "", problem};
    reader.required("patch_id", result.id);
    reader.required("base", result.base);
    reader.required("author", result.author);
    reader.required("rules", result.rules, {1.0, static_cast<double>(fold_rules_version)});
    reader.known("operations");
    reader.finish();
    if (!problem.found) {
        read_operations(*document, result, problem);
    }
    if (problem.found) {
        return failure(error_code::malformed, where + ": " + problem.path + ": " + problem.reason);
    }
    return result;
}

std::string format_patch(const patch& change)
{
    nlohmann::json operations = nlohmann::json::array();
    for (const patch_operation& operation : change.operations) {
        nlohmann::json written =
            std::visit([](const auto& typed) { return json_writer::write_value(typed); }, operation);
        written["op"] = operation_names[operation.index()];
        operations.push_back(std::move(written));
    }
    return nlohmann::json{{"patch_id", change.id.value()},
                          {"base", change.base.value()},
                          {"author", change.author},
                          {"rules", change.rules},
                          {"operations", std::move(operations)}}
        .dump();
}

std::uint32_t peek_rules(std::string_view text)
{
    const outcome<nlohmann::json> document = parse_json(text, {max_patch_bytes, max_patch_depth});
    if (!document || !document->is_object()) {
        return 0;
    }
    const auto rules = document->find("rules");
    if (rules == document->end() || !rules->is_number_unsigned()) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(rules->get<std::uint64_t>(), UINT32_MAX));
}

} // namespace agatespar
