// Parses the command line with docopt and checks every setting.
#include "options.h"

#include <docopt/docopt.h>

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <map>

namespace agatespar {

static constexpr const char* tool_version = "0.1.0";

static constexpr const char* usage_text = R"(agatesparctl: operate agatespar.

Usage:
  agatesparctl [options] patch <file>...
  agatesparctl [options] config (show | log | clashes)
  agatesparctl [options] config (diff | check) <file>...
  agatesparctl [options] zone (drain | return) <zone>
  agatesparctl [options] rollout <model> <share>...
  agatesparctl [options] withdraw <version>
  agatesparctl [options] status
  agatesparctl [options] explain <request>
  agatesparctl [options] trace <request> <file>...
  agatesparctl [options] usage
  agatesparctl --help
  agatesparctl --version

Commands:
  patch            Submit patches in their order, and stop at the first that is not accepted.
  config show      Print the accepted configuration.
  config log       Print the latest verdicts on patches, oldest first.
  config clashes   Print each name that more than one fleet uses, and its meaning in each of them.
  config diff      Print what patches would change, as a JSON patch (RFC 6902).
  config check     Check patches against their schema, and with a log also against the configuration.
  zone             Take a zone FLEET/ZONE out of service, or bring it back.
  rollout          Set all shares of new sessions of a model: FLEET/MODEL VERSION=SHARE...
  withdraw         Withdraw a version FLEET/MODEL@VERSION.
  status           Print the state of one VM.
  explain          Print how a request was decided.
  trace            Print the lines of collected VM logs that explain a request: its own line, and events of the
                   servers that it was sent to and of the store, on the same VM shortly before its end.
  usage            Print what is billed to each client account.

Options:
  --log=URL                 The log service [env: AGATESPAR_LOG_URL].
  --daemon=URL              A VM's operator interface, for status and explain [env: AGATESPAR_DAEMON_URL].
  --operator-key-file=FILE  File with the operator's key for the VM [env: AGATESPAR_OPERATOR_KEY, the key itself].
  --author=NAME             The author of each patch [env: AGATESPAR_AUTHOR, USER].
  --base=NUMBER             The configuration that zone, rollout and withdraw change; default: the current one.
  --patch-id=ID             The patch id of zone, rollout and withdraw; default: a random one.
  --successor=VERSION       The version that takes over the sessions of a withdrawn version.
  --fleet=NAME              Show one fleet only.
  --timeout=SECONDS         Maximum time that a command waits for a service [default: 30].
  --json                    Print JSON for scripts.
  --help                    Print this text.
  --version                 Print the version.

Exit codes:
  0  done; patches were accepted
  1  refused: conflict with another patch, invalid patch, or not allowed
  2  wrong usage, setting or file
  3  the log service or the VM can't be reached; nothing was changed
  4  the outcome is unknown: the patch may be accepted or not; see `config log`, or submit the same file again
)";

namespace {

using argument_map = std::map<std::string, docopt::value>;

// Thrown for an invalid setting; the text names the setting.
struct bad_setting {
    std::string text;
};

} // namespace

static std::optional<std::string> text_of(const argument_map& arguments, const char* name, const char* variable)
{
    const docopt::value& value = arguments.at(name);
    if (value.isString()) {
        return value.asString();
    }
    const char* const from_environment = variable == nullptr ? nullptr : std::getenv(variable);
    return from_environment == nullptr ? std::nullopt : std::optional<std::string>{from_environment};
}

static std::uint64_t number_of(const std::string& text, const char* name)
{
    std::uint64_t number = 0;
    const std::from_chars_result read = std::from_chars(text.data(), text.data() + text.size(), number);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size()) {
        throw bad_setting{std::string{name} + ": \"" + text + "\" is not a whole number"};
    }
    return number;
}

static std::string url_of(const argument_map& arguments, const char* name, const char* variable)
{
    std::string url = text_of(arguments, name, variable).value_or("");
    if (!url.empty() && !url.starts_with("http://") && !url.starts_with("https://")) {
        throw bad_setting{std::string{name} + " (" + variable + "): \"" + url + "\" is not an http or https URL"};
    }
    while (url.ends_with('/')) {
        url.pop_back();
    }
    return url;
}

static std::string operator_key_of(const argument_map& arguments)
{
    const docopt::value& file = arguments.at("--operator-key-file");
    if (!file.isString()) {
        const char* const key = std::getenv("AGATESPAR_OPERATOR_KEY");
        return key == nullptr ? "" : key;
    }
    std::ifstream input{file.asString()};
    std::string key;
    if (!std::getline(input, key) || key.empty()) {
        throw bad_setting{"--operator-key-file: " + file.asString() + " contains no key"};
    }
    return key;
}

static command command_of(const argument_map& arguments)
{
    const auto is_given = [&arguments](const char* word) { return arguments.at(word).asBool(); };
    static constexpr std::pair<const char*, command> words[] = {
        {"patch", command::patch},      {"show", command::config_show},
        {"log", command::config_log},   {"clashes", command::config_clashes},
        {"diff", command::config_diff}, {"check", command::config_check},
        {"drain", command::zone_drain}, {"return", command::zone_return},
        {"rollout", command::rollout},  {"withdraw", command::withdraw},
        {"explain", command::explain},  {"usage", command::usage},
        {"trace", command::trace}};
    for (const auto& [word, what] : words) {
        if (is_given(word)) {
            return what;
        }
    }
    return command::status;
}

static void require_settings(const tool_options& options)
{
    const bool queries_daemon = options.what == command::status || options.what == command::explain;
    if (queries_daemon && options.daemon_url.empty()) {
        throw bad_setting{"--daemon (AGATESPAR_DAEMON_URL): is required by this command"};
    }
    const bool log_is_optional = options.what == command::config_check || options.what == command::trace;
    if (!queries_daemon && !log_is_optional && options.log_url.empty()) {
        throw bad_setting{"--log (AGATESPAR_LOG_URL): is required by this command"};
    }
}

static tool_options options_from(const argument_map& arguments)
{
    tool_options options;
    options.what = command_of(arguments);
    options.files = arguments.at("<file>").asStringList();
    options.shares = arguments.at("<share>").asStringList();
    for (const char* name : {"<zone>", "<model>", "<version>", "<request>"}) {
        options.target += text_of(arguments, name, nullptr).value_or("");
    }
    options.successor = text_of(arguments, "--successor", nullptr);
    options.fleet = text_of(arguments, "--fleet", nullptr);
    if (const auto base = text_of(arguments, "--base", nullptr)) {
        options.base = number_of(*base, "--base");
    }
    options.patch_id = text_of(arguments, "--patch-id", nullptr).value_or("");
    options.author = text_of(arguments, "--author", "AGATESPAR_AUTHOR").value_or("");
    if (options.author.empty()) {
        const char* const user = std::getenv("USER");
        options.author = user == nullptr ? "operator" : user;
    }
    options.log_url = url_of(arguments, "--log", "AGATESPAR_LOG_URL");
    options.daemon_url = url_of(arguments, "--daemon", "AGATESPAR_DAEMON_URL");
    options.operator_key = operator_key_of(arguments);
    const std::uint64_t timeout = number_of(arguments.at("--timeout").asString(), "--timeout");
    if (timeout < 1 || timeout > 86'400) {
        throw bad_setting{"--timeout: must be between 1 and 86400 seconds"};
    }
    options.timeout = std::chrono::seconds{timeout};
    options.json = arguments.at("--json").asBool();
    require_settings(options);
    return options;
}

parsed_command_line read_options(const std::vector<std::string>& arguments)
{
    try {
        return {options_from(docopt::docopt_parse(usage_text, arguments, true, true)), {}, exit_code::ok};
    }
    catch (const docopt::DocoptExitHelp&) {
        return {std::nullopt, usage_text, exit_code::ok};
    }
    catch (const docopt::DocoptExitVersion&) {
        return {std::nullopt, "agatesparctl " + std::string{tool_version} + "\n", exit_code::ok};
    }
    catch (const docopt::DocoptArgumentError& problem) {
        return {std::nullopt, std::string{"agatesparctl: "} + problem.what() + "; see agatesparctl --help\n",
                exit_code::usage};
    }
    catch (const bad_setting& problem) {
        return {std::nullopt, "agatesparctl: " + problem.text + "\n", exit_code::usage};
    }
}

} // namespace agatespar
