// Options of agatesparctl, from the command line and the environment.
#pragma once

#include <agatespar/support/outcome.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace agatespar {

/// Exit codes of agatesparctl, as documented by --help.
enum class exit_code {
    ok = 0,
    refused = 1,
    usage = 2,
    unreachable = 3,
    unknown = 4,
};

enum class command {
    patch,
    config_show,
    config_log,
    config_clashes,
    config_diff,
    config_check,
    zone_drain,
    zone_return,
    rollout,
    withdraw,
    status,
    explain,
    usage,
    trace,
};

/// The command to run and its options.
struct tool_options {
    command what{command::status};
    std::vector<std::string> files;
    /// The zone, model or version that the command applies to, or the id of a request.
    std::string target;
    std::vector<std::string> shares;
    std::optional<std::string> successor;
    std::optional<std::string> fleet;
    std::optional<std::uint64_t> base;
    std::string patch_id;
    std::string author;
    std::string log_url;
    std::string daemon_url;
    std::string operator_key;
    std::chrono::seconds timeout{30};
    bool json{false};
};

/// Result of parsing the command line: options, or a text to print and an exit code.
struct tool_start {
    std::optional<tool_options> options;
    std::string text;
    exit_code code{exit_code::ok};
};

/// Parses the command line; options that it lacks are read from the environment.
tool_start read_options(const std::vector<std::string>& arguments);

} // namespace agatespar
