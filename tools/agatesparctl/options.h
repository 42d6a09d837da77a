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
    /// A patch conflicts with another one or is invalid, or the operation is not allowed.
    refused = 1,
    /// The command line, a setting or a file is invalid.
    usage = 2,
    /// The log service or the VM can't be reached; nothing was changed.
    unreachable = 3,
    /// The outcome is unknown: the patch may be accepted or not.
    unknown = 4,
};

enum class command {
    patch,
    config_show,
    config_log,
    /// Prints the names that more than one fleet uses.
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
    /// Patch files, or the log files for `trace`.
    std::vector<std::string> files;
    /// The zone, model or version that the command applies to, or the id of a request.
    std::string target;
    /// The shares of a roll-out, each as VERSION=SHARE.
    std::vector<std::string> shares;
    /// The version that takes over the sessions of a withdrawn version.
    std::optional<std::string> successor;
    /// The only fleet to show; all if empty.
    std::optional<std::string> fleet;
    /// Number of the configuration that the command changes; the current one if empty.
    std::optional<std::uint64_t> base;
    std::string patch_id;
    std::string author;
    std::string log_url;
    std::string daemon_url;
    std::string operator_key;
    /// Maximum time that the command waits for a service.
    std::chrono::seconds timeout{30};
    /// Whether to print JSON instead of text.
    bool json{false};
};

/// Result of parsing the command line: options, or else a text to print and the exit code.
struct parsed_command_line {
    std::optional<tool_options> options;
    std::string text;
    exit_code code{exit_code::ok};
};

/// Parses the command line; options that it lacks are read from the environment.
/// @param arguments without the name of the program.
parsed_command_line read_options(const std::vector<std::string>& arguments);

} // namespace agatespar
