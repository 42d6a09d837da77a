// Reads and writes snapshots as JSON.
#include "configuration_fields.h"
#include "validate.h"

#include <agatespar/config/fold.h>

namespace agatespar {

static constexpr std::size_t max_snapshot_depth = 16;

namespace {

// The fields of a snapshot's JSON object.
struct snapshot_record {
    std::uint32_t rules{fold_rules_version};
    log_offset covers;
    config_number number;
    std::uint64_t chain_hash{0};
    std::chrono::milliseconds written_at{0};
    std::map<fleet_name, fleet_settings> fleets;
    std::vector<patch_verdict> verdicts;
};

} // namespace

static constexpr name_table<verdict_kind, 3> enum_names(verdict_kind)
{
    return {{{"accepted", verdict_kind::accepted},
             {"conflict", verdict_kind::conflict},
             {"invalid", verdict_kind::invalid}}};
}

template <class Archive>
static void fields(Archive& archive, patch_verdict& value)
{
    archive.required("patch_id", value.id);
    archive.required("author", value.author);
    archive.required("verdict", value.kind);
    archive.required("number", value.number);
    archive.optional("reason", value.reason);
}

template <class Archive>
static void fields(Archive& archive, snapshot_record& value)
{
    // Written as text: the hash uses all 64 bits, and not all JSON parsers represent such numbers exactly.
    std::string hash = std::to_string(value.chain_hash);
    archive.required("rules", value.rules);
    archive.required("covers", value.covers);
    archive.required("number", value.number);
    archive.required("chain_hash", hash);
    archive.optional("written_at_unix_ms", value.written_at);
    archive.required("fleets", value.fleets);
    archive.required("verdicts", value.verdicts);
    value.chain_hash = std::strtoull(hash.c_str(), nullptr, 10);
}

std::string format_snapshot(const config_snapshot& snapshot)
{
    const fold_state& state = snapshot.state;
    const snapshot_record record{
        fold_rules_version,
        state.covers,
        state.current->number,
        state.current->chain_hash,
        std::chrono::duration_cast<std::chrono::milliseconds>(snapshot.written_at.time_since_epoch()),
        state.current->fleets,
        {state.verdicts.begin(), state.verdicts.end()}};
    return json_writer::write_value(record).dump();
}

outcome<config_snapshot> parse_snapshot(std::string_view text)
{
    const outcome<nlohmann::json> document = parse_unique_json(text, max_snapshot_bytes, max_snapshot_depth);
    if (!document) {
        return tl::make_unexpected(document.error());
    }
    if (document->is_object() && document->value("rules", nlohmann::json{}).is_number_unsigned() &&
        document->at("rules").get<std::uint64_t>() > fold_rules_version) {
        return failure(error_code::conflict, "the snapshot requires newer fold rules than this program has");
    }
    schema_problem problem;
    snapshot_record record;
    json_reader::read_value(*document, record, {}, "", problem);
    if (problem.found) {
        return failure(error_code::malformed, "snapshot: " + problem.path + ": " + problem.reason);
    }
    configuration config{record.number, record.chain_hash, std::move(record.fleets), {}};
    if (const outcome<void> checked = validate(config); !checked) {
        return failure(error_code::malformed, "snapshot: " + checked.error().message);
    }
    index_accounts(config);
    fold_state state;
    state.covers = record.covers;
    state.current = std::make_shared<const configuration>(std::move(config));
    state.verdicts.assign(record.verdicts.begin(), record.verdicts.end());
    return config_snapshot{std::move(state), wall_time{record.written_at}};
}

} // namespace agatespar
