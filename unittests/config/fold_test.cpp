// Tests of the fold: compare-and-set in the order of the log, validation, repeated patches, and snapshots.
#include "sample_patches.h"

#include <agatespar/config/fold.h>

#include <catch2/catch.hpp>

using namespace agatespar;

static fold_result fold_text(fold_state& state, const std::string& payload)
{
    return fold(state, {log_offset{state.covers.value() + 1}, payload});
}

static fold_result fold_patch(fold_state& state, const patch& change)
{
    return fold_text(state, format_patch(change));
}

static fold_state sample_state()
{
    fold_state state;
    REQUIRE(fold_patch(state, two_fleets_patch("p1")).verdict.kind == verdict_kind::accepted);
    return state;
}

static const model_id sample_model{fleet_name{"kovacic"}, model_name{"assistant"}};
static const version_id sample_version{sample_model, version_name{"1"}};

SCENARIO("patches are accepted against the current number only")
{
    GIVEN("a configuration of two fleets whose names all clash")
    {
        fold_state state = sample_state();
        CHECK(state.current->number == config_number{1});
        THEN("a key identifies the account of its own fleet")
        {
            const client_account_id* account = find_account_by_key_hash(*state.current, hash_key("key-c"));
            REQUIRE(account != nullptr);
            CHECK(account->fleet == fleet_name{"colombes"});
            CHECK(find_account_by_key_hash(*state.current, hash_key("other")) == nullptr);
        }
        WHEN("two patches are based on number 1")
        {
            const std::uint64_t hash = state.current->chain_hash;
            CHECK(fold_patch(state, zone_patch("p2", 1, false)).verdict.kind == verdict_kind::accepted);
            const fold_result second = fold_patch(state, zone_patch("p3", 1, true));
            THEN("the first one in the log is accepted and the other is a conflict")
            {
                CHECK(second.verdict.kind == verdict_kind::conflict);
                CHECK(state.current->number == config_number{2});
                CHECK(state.current->chain_hash != hash);
                CHECK(!find_zone(*state.current, {fleet_name{"kovacic"}, zone_name{"a"}})->in_service);
                CHECK(find_zone(*state.current, {fleet_name{"colombes"}, zone_name{"a"}})->in_service);
            }
            AND_WHEN("both are appended again")
            {
                const fold_result again = fold_patch(state, zone_patch("p2", 1, false));
                const fold_result conflict = fold_patch(state, zone_patch("p3", 2, true));
                THEN("each keeps its first verdict")
                {
                    CHECK(again.repeated);
                    CHECK(again.verdict.number == config_number{2});
                    CHECK(conflict.verdict.kind == verdict_kind::conflict);
                    CHECK(state.current->number == config_number{2});
                }
            }
        }
    }
}

SCENARIO("a patch with one invalid operation is rejected as a whole")
{
    fold_state state = sample_state();
    client_account_settings duplicate_key_account;
    duplicate_key_account.key_hashes = {hash_key("key-c")};
    client_account_settings unknown_model_account;
    unknown_model_account.models[model_name{"unknown"}] = {};
    service_settings wrong;
    wrong.models = {model_name{"unknown"}};
    const fleet_name fleet{"kovacic"};
    const auto [operation, reason] = GENERATE_COPY(table<patch_operation, std::string>({
        {put_account{{fleet, client_account_name{"x"}}, duplicate_key_account},
         "a key belongs to account colombes/main already"},
        {put_account{{fleet, client_account_name{"x"}}, unknown_model_account}, "the model unknown is unknown"},
        {put_service{{fleet, service_name{"x"}}, wrong}, "the model unknown is unknown"},
        {put_zone{{fleet_name{"none"}, zone_name{"x"}}, {region_name{"r"}, true}}, "fleet none is unknown"},
        {set_shares{sample_model, {{version_name{"1"}, 0.5}, {version_name{"2"}, 0.4}}}, "the shares add up to 0.9"},
        {set_shares{sample_model, {{version_name{"9"}, 1.0}}}, "version kovacic/assistant@9 is unknown"},
        {withdraw_version{sample_version, version_name{"9"}}, "has to be a serving version"},
        {remove_version{sample_version}, "has to be withdrawn before"},
        {remove_model{sample_model}, "the model assistant is unknown"},
        {remove_fleet{fleet}, "is not empty"},
    }));
    const fold_result result =
        fold_patch(state, make_patch("p2", 1, {set_zone_in_service{{fleet, zone_name{"a"}}, false}, operation}));
    CHECK(result.verdict.kind == verdict_kind::invalid);
    CHECK_THAT(result.verdict.reason, Catch::Contains(reason));
    CHECK(state.current->number == config_number{1});
    CHECK(find_zone(*state.current, {fleet, zone_name{"a"}})->in_service);
}

SCENARIO("the share and the sessions of a withdrawn version move to other versions")
{
    fold_state state = sample_state();
    GIVEN("a withdrawal without a successor")
    {
        REQUIRE(fold_patch(state, make_patch("p2", 1, {withdraw_version{sample_version, {}}})).verdict.kind ==
                verdict_kind::accepted);
        const model_settings& model = *find_model(*state.current, sample_model);
        CHECK(model.versions.at(version_name{"2"}).share == Approx(1.0));
        CHECK(!resolve_version(model, version_name{"1"}));
        THEN("the last version can't be withdrawn")
        {
            const version_id last{sample_model, version_name{"2"}};
            CHECK(fold_patch(state, make_patch("p3", 2, {withdraw_version{last, {}}})).verdict.kind ==
                  verdict_kind::invalid);
        }
    }
    GIVEN("a chain of successors")
    {
        const version_settings next{version_state::serving, {}, 0.0, cost_units{1.0}};
        REQUIRE(fold_patch(state, make_patch("p2", 1,
                                             {withdraw_version{sample_version, version_name{"2"}},
                                              put_version{{sample_model, version_name{"3"}}, next},
                                              withdraw_version{{sample_model, version_name{"2"}}, version_name{"3"}}}))
                    .verdict.kind == verdict_kind::accepted);
        CHECK(resolve_version(*find_model(*state.current, sample_model), version_name{"1"}) == version_name{"3"});
    }
}

SCENARIO("malformed records are skipped and records of newer rules stop the fold")
{
    fold_state state = sample_state();
    CHECK(fold_text(state, "garbage").verdict.kind == verdict_kind::malformed);
    CHECK(fold_text(state, std::string(300'000, '[')).verdict.kind == verdict_kind::malformed);
    CHECK(state.covers == log_offset{3});
    const fold_result newer = fold_text(state, R"({"rules":2,"operations":[{"op":"unheard_of"}]})");
    CHECK(newer.verdict.kind == verdict_kind::too_new);
    CHECK(state.covers == log_offset{3});
    CHECK(state.stopped_by_rules == 2);
    CHECK(state.current->number == config_number{1});
}

SCENARIO("a snapshot contains the complete state of the fold")
{
    fold_state state = sample_state();
    fold_patch(state, zone_patch("p2", 1, false));
    fold_patch(state, zone_patch("p3", 1, false));
    const std::string text = format_snapshot({state, wall_time{}});
    outcome<config_snapshot> read = parse_snapshot(text);
    REQUIRE(read);
    CHECK(format_snapshot(*read) == text);
    CHECK(read->state.current->fleets == state.current->fleets);
    CHECK(read->state.current->chain_hash == state.current->chain_hash);
    CHECK(fold_patch(read->state, zone_patch("p3", 2, true)).verdict.kind == verdict_kind::conflict);
    CHECK(find_account_by_key_hash(*read->state.current, hash_key("key-k")) != nullptr);
    CHECK(parse_snapshot(R"({"rules":9})").error().code == error_code::conflict);
    CHECK(parse_snapshot("{}").error().code == error_code::malformed);
}

SCENARIO("the number of remembered verdicts is bounded, and a patch whose verdict was dropped is not applied twice")
{
    fold_state state = sample_state();
    for (std::uint64_t i = 1; i <= max_remembered_verdicts; ++i) {
        fold_patch(state, zone_patch("z" + std::to_string(i), i, i % 2 == 0));
    }
    CHECK(state.verdicts.size() == max_remembered_verdicts);
    const config_number before = state.current->number;
    CHECK(fold_patch(state, two_fleets_patch("p1")).verdict.kind == verdict_kind::conflict);
    CHECK(state.current->number == before);
}

SCENARIO("the largest configuration with the longest names fits into a snapshot")
{
    const std::string padding(max_name_bytes - 6, 'x');
    const auto name = [&padding](std::size_t i) { return padding + std::to_string(100'000 + i); };
    fold_state state;
    const fleet_name fleet{name(0)};
    REQUIRE(fold_patch(state, make_patch(name(0), 0, {put_fleet{fleet, {}}})).verdict.kind == verdict_kind::accepted);
    model_settings model;
    model.versions[version_name{name(0)}] = {version_state::serving, {}, 1.0, cost_units{0.123456789012345}};
    std::size_t versions = 1;
    for (verdict_kind kind = verdict_kind::accepted; kind == verdict_kind::accepted;) {
        for (int i = 0; i < 500; ++i) {
            model.versions[version_name{name(versions++)}] = {version_state::withdrawn, version_name{name(0)}, 0.0,
                                                              cost_units{0.123456789012345}};
        }
        patch change = make_patch(name(versions), state.current->number.value(), {});
        for (const auto& [version, settings] : model.versions) {
            if (find_model(*state.current, {fleet, model_name{name(1)}}) == nullptr) {
                change.operations.emplace_back(put_model{{fleet, model_name{name(1)}}, model});
                break;
            }
            if (find_version(*state.current, {{fleet, model_name{name(1)}}, version}) == nullptr) {
                change.operations.emplace_back(put_version{{{fleet, model_name{name(1)}}, version}, settings});
            }
        }
        kind = fold_patch(state, change).verdict.kind;
    }
    CHECK(find_model(*state.current, {fleet, model_name{name(1)}})->versions.size() > max_config_items - 1000);
    for (std::size_t i = 0; i < max_remembered_verdicts; ++i) {
        patch change = make_patch(name(50'000 + i), 0, {put_fleet{fleet, {}}});
        change.author = std::string(256, 'a');
        change.base = state.current->number;
        change.operations = {put_zone{{fleet_name{std::string(62, 'y') + "\u010d"}, zone_name{name(0)}}, {}},
                             remove_fleet{fleet}};
        fold_patch(state, change);
    }
    const std::string text = format_snapshot({state, wall_time{}});
    CHECK(text.size() <= max_snapshot_bytes);
    CHECK(parse_snapshot(text));
}

SCENARIO("a remembered reason is truncated between characters")
{
    // Names of two-byte characters, with and without a one-byte prefix, so that in one of the two cases truncation at a
    // fixed byte would split a character.
    const std::string start = GENERATE(std::string{}, std::string{"x"});
    std::string letters = start;
    while (letters.size() + 2 <= max_name_bytes) {
        letters += "\u010d";
    }
    fold_state state = sample_state();
    const model_id model{fleet_name{letters}, model_name{letters}};
    model_settings settings;
    settings.versions[version_name{"1"}] = {version_state::serving, {}, 1.0, cost_units{1.0}};
    const fold_result result = fold_patch(state, make_patch("p", 1,
                                                            {put_fleet{model.fleet, {}}, put_model{model, settings},
                                                             set_shares{model, {{version_name{letters}, 1.0}}}}));
    CHECK(result.verdict.reason.size() > max_remembered_reason_bytes);
    CHECK(find_verdict(state, patch_id{"p"})->reason.size() + 1 >= max_remembered_reason_bytes);
    CHECK(parse_snapshot(format_snapshot({state, wall_time{}})));
}
