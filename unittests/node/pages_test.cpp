// Checks that the documentation agrees with the code: settings, error codes, the example patch, and the files and tests
// that the page of guarantees cites.
#include <agatespar/config/patch.h>
#include <agatespar/frontend/api_format.h>
#include <agatespar/http/message.h>
#include <agatespar/node/settings.h>
#include <agatespar/support/outcome.h>

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

using namespace agatespar;

/// Cells of a table row, without backquotes.
using table_row = std::vector<std::string>;

static const std::filesystem::path docs_folder{AGATESPAR_DOCS_FOLDER};

static std::string read_file(const std::filesystem::path& path)
{
    CAPTURE(path);
    std::ifstream file{path};
    REQUIRE(file);
    return {std::istreambuf_iterator<char>{file}, {}};
}

static table_row split_row(const std::string& line)
{
    table_row cells;
    std::istringstream stream{line.substr(1)};
    for (std::string cell; std::getline(stream, cell, '|');) {
        std::erase(cell, '`');
        const std::size_t first = cell.find_first_not_of(' ');
        const std::size_t last = cell.find_last_not_of(' ');
        cells.push_back(first == std::string::npos ? "" : cell.substr(first, last - first + 1));
    }
    return cells;
}

/// @return the rows of the table in a section of a page, without the header row.
static std::vector<table_row> read_table(const std::string& page, std::string_view heading)
{
    std::istringstream file{read_file(docs_folder / page)};
    std::vector<table_row> rows;
    bool inside = false;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("## ")) {
            inside = line == heading;
        }
        const bool is_rule = line.starts_with("|-");
        if (inside && line.starts_with("|") && !is_rule) {
            rows.push_back(split_row(line));
        }
    }
    REQUIRE(!rows.empty());
    rows.erase(rows.begin());
    return rows;
}

static std::string default_cell(const setting_description& setting)
{
    if (setting.required) {
        return "required";
    }
    return setting.default_value.empty() ? "none" : std::string{setting.default_value};
}

SCENARIO("the operators' page lists each setting with its variable and default")
{
    const std::vector<table_row> rows = read_table("OPERATORS.md", "## Settings");
    const auto& settings = all_settings();
    REQUIRE(rows.size() == settings.size());
    for (std::size_t i = 0; i < settings.size(); ++i) {
        const setting_description& setting = settings[i];
        CAPTURE(setting.name);
        REQUIRE(rows[i].size() == 4);
        CHECK(rows[i][0] == "--" + std::string{setting.name} + "=" + std::string{setting.value_form});
        CHECK(rows[i][1] == environment_name(setting.name));
        CHECK(rows[i][2] == default_cell(setting));
        CHECK(!rows[i][3].empty());
    }
}

// Guards against a status that usual client libraries take for "not run, send it again" beside an unknown outcome.
SCENARIO("the callers' page lists each error code with its HTTP statuses")
{
    const std::vector<table_row> rows = read_table("API.md", "## Error codes");
    constexpr auto code_count = static_cast<std::size_t>(error_code::internal) + 1;
    REQUIRE(rows.size() == code_count);
    for (std::size_t i = 0; i < code_count; ++i) {
        const auto code = static_cast<error_code>(i);
        CAPTURE(to_string(code));
        REQUIRE(rows[i].size() == 4);
        CHECK(rows[i][0] == to_string(code));
        CHECK(rows[i][1] == std::to_string(http_status_of(code, run_state::not_run)));
        for (const run_state unproven : {run_state::outcome_unknown, run_state::ran}) {
            CHECK(rows[i][2] == std::to_string(http_status_of(code, unproven)));
            CHECK(!promises_not_run(http_status_of(code, unproven)));
        }
        CHECK(!rows[i][3].empty());
    }
}

SCENARIO("the example patch of the operators' page is valid and creates two fleets")
{
    const std::string page = read_file(docs_folder / "OPERATORS.md");
    const std::string fence = "```json\n";
    const std::size_t start = page.find(fence);
    REQUIRE(start != std::string::npos);
    const std::size_t first = start + fence.size();
    const auto example = parse_patch(page.substr(first, page.find("```", first) - first), "OPERATORS.md");
    REQUIRE(example);
    const auto result = apply_patch(configuration{}, *example);
    REQUIRE(result);
    CHECK(result->fleets.size() == 2);
}

SCENARIO("the files and tests that the page of guarantees cites exist")
{
    const std::string page = read_file(docs_folder / "INVARIANTS.md");
    const std::regex reference{"`([a-z]+/[A-Za-z0-9_/-]+\\.(?:cpp|py|pml))`(?: \"([^\"]+)\")?"};
    std::size_t references = 0;
    for (std::sregex_iterator match{page.begin(), page.end(), reference}, end; match != end; ++match) {
        const std::string path = (*match)[1];
        const bool names_scenario = (*match)[2].matched;
        const std::string scenario = names_scenario ? "\"" + (*match)[2].str() + "\"" : "";
        const std::string source = read_file(docs_folder.parent_path() / path);
        CAPTURE(path, scenario);
        CHECK(source.find(scenario) != std::string::npos);
        ++references;
    }
    CHECK(references > 0);
}
