// The command line and the environment of agatesparctl.
#pragma once

#include <agatespar/support/outcome.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace agatespar {

/// The tool's exit codes, as --help documents them.
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

/// What the operator asked for.
struct tool_options {
    command what{command::status};
    std::vector<std::string> files;
    /// The zone, model or version that a command is about, or a request's id.
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

/// What the start came to: options, or a text to print and an exit code.
struct tool_start {
    std::optional<tool_options> options;
    std::string text;
    exit_code code{exit_code::ok};
};

/// Reads the command line, and what it leaves out from the environment.
tool_start read_options(const std::vector<std::string>& arguments);

} // namespace agatespar
