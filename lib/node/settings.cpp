// Table of the settings, and the checks of their values.
#include <agatespar/node/settings.h>

#include <arpa/inet.h>
#include <docopt/docopt.h>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace agatespar {

static constexpr std::string_view environment_prefix = "AGATESPAR_";
static constexpr std::size_t min_session_secret = 16;
static constexpr std::int64_t max_seconds = 24LL * 3600;
// Far above what a VM has, so that a mistyped number is noticed.
static constexpr std::uint32_t max_client_memory_mib = 1U << 20U;
static constexpr std::uint32_t max_connection_count = 1U << 20U;
static constexpr unsigned mebibyte_shift = 20;

namespace {

using setting_values = std::map<std::string, std::string, std::less<>>;

} // namespace

const std::vector<setting_description>& all_settings()
{
    static const std::vector<setting_description> settings{
        {"listen", "IP:PORT", "127.0.0.1:8080", false, "address of the HTTP interface for callers and operators"},
        {"peer-listen", "IP:PORT", "127.0.0.1:0", false, "address for the other VMs of the system"},
        {"zone", "FLEET/ZONE", "", true, "availability zone of this VM"},
        {"region", "NAME", "default", false, "region that the zone belongs to"},
        {"peers", "IP:PORT,...", "", false, "peer addresses to probe in addition to those of the VM list"},
        {"log-url", "URL", "", true, "the platform's log service"},
        {"vm-list-url", "URL", "", true, "the platform's VM list"},
        {"rating-url", "URL", "", false, "the platform's rating service; without it no answer is rated"},
        {"weight-store-url", "URL", "", false, "the platform's weight store; without it no model loads are ordered"},
        {"vm-key", "TEXT", "", true, "secret that all VMs share, at least 16 characters; better in the environment"},
        {"session-secret", "TEXT", "", true, "secret that signs session tokens, at least 16 characters"},
        {"operator-key-hashes", "HEX,...", "", false, "hashes of the operators' keys for /operator"},
        {"tls-certificate", "FILE", "", false, "PEM certificate of the HTTP interface"},
        {"tls-key", "FILE", "", false, "PEM key of the HTTP interface"},
        {"trace-file", "FILE", "", false, "file that gets spans as OTLP/JSON lines"},
        {"trace-url", "URL", "", false, "HTTP endpoint that gets spans as OTLP/JSON"},
        {"port-file", "FILE", "", false, "file that gets the chosen addresses as JSON after the start"},
        {"notice-time", "SECONDS", "5", false, "how long a stopping VM keeps serving until the balancer notices"},
        {"drain-time", "SECONDS", "600", false, "how long a stopping VM waits for running requests"},
        {"client-memory", "MIB", "256", false, "what requests and unread answers of all callers hold at most"},
        {"max-connections", "NUMBER", "4096", false, "maximum number of callers' connections"},
    };
    return settings;
}

std::string environment_name(std::string_view setting)
{
    std::string name{environment_prefix};
    for (const char c : setting) {
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return name;
}

std::string settings_help()
{
    std::ostringstream help;
    help << "agatespard serves callers and routes their requests to backend servers.\n\n"
            "Usage:\n  agatespard [options]\n  agatespard --help\n  agatespard --version\n\nOptions:\n"
            "  -h --help  Show this text.\n  --version  Show the version.\n";
    for (const auto& setting : all_settings()) {
        help << "  --" << setting.name << "=<" << setting.value_form << ">  " << setting.help;
        help << (setting.required ? "; required" : "");
        if (!setting.default_value.empty()) {
            help << "; " << setting.default_value << " if not given";
        }
        help << ".\n";
    }
    help << "\nEach option can be set by an environment variable instead, e.g. --log-url by AGATESPAR_LOG_URL;\n"
            "an option overrides its variable.\n";
    return help.str();
}

static tl::unexpected<error> bad_setting(std::string_view name, const std::string& reason)
{
    return failure(error_code::invalid_argument, "--" + std::string{name} + ": " + reason);
}

static bool is_setting(std::string_view name)
{
    const auto& settings = all_settings();
    return std::any_of(settings.begin(), settings.end(), [name](const auto& entry) { return entry.name == name; });
}

/// Refuses variables with the prefix that belong to no setting, as most of them are misspelled.
static outcome<void> check_environment(const environment& variables)
{
    for (const auto& variable : variables) {
        const std::string& name = variable.first;
        if (!name.starts_with(environment_prefix)) {
            continue;
        }
        const auto& settings = all_settings();
        const bool known = std::any_of(settings.begin(), settings.end(),
                                       [&](const auto& entry) { return environment_name(entry.name) == name; });
        if (!known) {
            return failure(error_code::invalid_argument, "environment variable " + name + ": no such setting");
        }
    }
    return {};
}

/// Allows only full option names, and each only once; docopt itself would accept any unambiguous prefix of an option.
static outcome<void> check_flags(const std::vector<std::string>& arguments)
{
    std::vector<std::string> seen;
    for (const auto& argument : arguments) {
        if (!argument.starts_with("--")) {
            continue;
        }
        const std::string name = argument.substr(2, argument.find('=') - 2);
        if (!is_setting(name)) {
            return failure(error_code::invalid_argument, argument + ": no such option; see --help");
        }
        if (std::find(seen.begin(), seen.end(), name) != seen.end()) {
            return bad_setting(name, "given twice");
        }
        seen.push_back(name);
    }
    return {};
}

static outcome<setting_values> collect_values(const std::vector<std::string>& arguments, const environment& variables)
{
    std::map<std::string, docopt::value> flags;
    try {
        flags = docopt::docopt_parse(settings_help(), arguments, false, false);
    }
    catch (const std::exception& problem) {
        return failure(error_code::invalid_argument, std::string{"command line: "} + problem.what());
    }
    setting_values values;
    for (const auto& setting : all_settings()) {
        const std::string name{setting.name};
        const docopt::value& flag = flags["--" + name];
        const auto variable = variables.find(environment_name(name));
        if (flag.isString()) {
            values[name] = flag.asString();
        }
        else if (variable != variables.end()) {
            values[name] = variable->second;
        }
        else {
            values[name] = std::string{setting.default_value};
        }
        if (setting.required && values[name].empty()) {
            return bad_setting(name, "required (or set " + environment_name(name) + ")");
        }
    }
    return values;
}

static std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream{text};
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

static bool is_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, problem] = std::from_chars(text.data() + colon + 1, end, port);
    const std::string ip = text.substr(0, colon);
    in_addr parsed{};
    return problem == std::errc{} && stop == end && inet_pton(AF_INET, ip.c_str(), &parsed) == 1;
}

static outcome<void> check_addresses(const setting_values& values)
{
    for (const char* name : {"listen", "peer-listen"}) {
        if (const std::string& text = values.find(name)->second; !is_address(text)) {
            return bad_setting(name, "'" + text + "' is not an IPv4 address and port, e.g. 127.0.0.1:8080");
        }
    }
    for (const auto& peer : split_list(values.find("peers")->second)) {
        if (!is_address(peer)) {
            return bad_setting("peers", "'" + peer + "' is not an IPv4 address and port");
        }
    }
    return {};
}

static outcome<void> check_urls(const setting_values& values)
{
    for (const char* name : {"log-url", "vm-list-url", "rating-url", "weight-store-url", "trace-url"}) {
        const std::string& text = values.find(name)->second;
        if (!text.empty() && !text.starts_with("http://") && !text.starts_with("https://")) {
            return bad_setting(name, "'" + text + "' is not an http or https URL");
        }
    }
    return {};
}

static outcome<void> check_combinations(const setting_values& values)
{
    if (values.find("tls-certificate")->second.empty() != values.find("tls-key")->second.empty()) {
        return bad_setting("tls-certificate", "must be given together with --tls-key");
    }
    if (!values.find("trace-file")->second.empty() && !values.find("trace-url")->second.empty()) {
        return bad_setting("trace-file", "cannot be combined with --trace-url; give one of them");
    }
    return {};
}

static outcome<std::chrono::milliseconds> parse_seconds(const setting_values& values, const char* name)
{
    const std::string& text = values.find(name)->second;
    double seconds = 0;
    const char* end = text.data() + text.size();
    const auto [stop, problem] = std::from_chars(text.data(), end, seconds);
    if (problem != std::errc{} || stop != end || !(seconds >= 0) || seconds > static_cast<double>(max_seconds)) {
        return bad_setting(name, "'" + text + "' is not a number of seconds from 0 to " + std::to_string(max_seconds));
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>{seconds});
}

static outcome<std::uint32_t> parse_count(const setting_values& values, const char* name, std::uint32_t max)
{
    const std::string& text = values.find(name)->second;
    std::uint32_t count = 0;
    const char* end = text.data() + text.size();
    const auto [stop, problem] = std::from_chars(text.data(), end, count);
    if (problem != std::errc{} || stop != end || count < 1 || count > max) {
        return bad_setting(name, "'" + text + "' is not a number from 1 to " + std::to_string(max));
    }
    return count;
}

static outcome<zone_id> parse_zone(const std::string& text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == text.size() ||
        text.find('/', slash + 1) != std::string::npos) {
        return bad_setting("zone", "'" + text + "' is not FLEET/ZONE");
    }
    return zone_id{fleet_name{text.substr(0, slash)}, zone_name{text.substr(slash + 1)}};
}

static outcome<void> read_secrets(const setting_values& values, node_settings& settings)
{
    const auto key = derive_vm_key(values.find("vm-key")->second);
    if (!key) {
        return bad_setting("vm-key", key.error().message);
    }
    settings.key = *key;
    settings.session_secret = values.find("session-secret")->second;
    if (settings.session_secret.size() < min_session_secret) {
        return bad_setting("session-secret", "shorter than 16 characters");
    }
    for (const auto& text : split_list(values.find("operator-key-hashes")->second)) {
        if (!is_key_hash(text)) {
            return bad_setting("operator-key-hashes", "'" + text + "' is not 64 hexadecimal digits");
        }
        settings.operator_key_hashes.emplace_back(text);
    }
    return {};
}

static void copy_texts(const setting_values& values, node_settings& settings)
{
    const auto text = [&values](const char* name) { return values.find(name)->second; };
    settings.listen = text("listen");
    settings.peer_listen = text("peer-listen");
    settings.region = region_name{text("region")};
    settings.peers = split_list(text("peers"));
    settings.log_url = text("log-url");
    settings.vm_list_url = text("vm-list-url");
    settings.rating_url = text("rating-url");
    settings.weight_store_url = text("weight-store-url");
    settings.tls_certificate_file = text("tls-certificate");
    settings.tls_key_file = text("tls-key");
    settings.trace_file = text("trace-file");
    settings.trace_url = text("trace-url");
    settings.port_file = text("port-file");
}

outcome<node_settings> read_settings(const std::vector<std::string>& arguments, const environment& variables)
{
    node_settings settings;
    setting_values values;
    return check_flags(arguments)
        .and_then([&] { return check_environment(variables); })
        .and_then([&] { return collect_values(arguments, variables); })
        .and_then([&](setting_values&& collected) {
            values = std::move(collected);
            return check_addresses(values);
        })
        .and_then([&] { return check_urls(values); })
        .and_then([&] { return check_combinations(values); })
        .and_then([&] { return read_secrets(values, settings); })
        .and_then([&] { return parse_zone(values["zone"]); })
        .and_then([&](zone_id&& zone) {
            settings.zone = std::move(zone);
            return parse_seconds(values, "notice-time");
        })
        .and_then([&](std::chrono::milliseconds time) {
            settings.notice_time = time;
            return parse_seconds(values, "drain-time");
        })
        .and_then([&](std::chrono::milliseconds time) {
            settings.drain_time = time;
            return parse_count(values, "client-memory", max_client_memory_mib);
        })
        .and_then([&](std::uint32_t mebibytes) {
            settings.client_memory_bytes = std::size_t{mebibytes} << mebibyte_shift;
            return parse_count(values, "max-connections", max_connection_count);
        })
        .map([&](std::uint32_t connections) {
            settings.max_connections = connections;
            copy_texts(values, settings);
            return settings;
        });
}

} // namespace agatespar
