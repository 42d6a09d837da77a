// Settings of agatespard from flags and environment variables, checked before any service starts.
#pragma once

#include <agatespar/config/key_hash.h>
#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>
#include <agatespar/wire/frame.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace agatespar {

/// One setting as listed in --help and in the documentation for operators.
struct setting_description {
    /// The flag without its dashes, e.g. "listen". The name of the environment variable is derived from it.
    std::string_view name;
    /// The form of the value in the help text, e.g. "IP:PORT".
    std::string_view value_form;
    /// Empty for a required setting and for one without a default.
    std::string_view default_value;
    bool required;
    std::string_view help;
};

/// @return all settings, in the order of the help text.
const std::vector<setting_description>& all_settings();

/// @return the environment variable of a setting, e.g. "AGATESPAR_LISTEN".
std::string environment_name(std::string_view setting);

/// Values of all settings; all_settings() describes each. A text is empty if an optional setting without a default is
/// not given.
struct node_settings {
    std::string listen;
    std::string peer_listen;
    zone_id zone;
    region_name region;
    std::vector<std::string> peers;
    std::string log_url;
    std::string vm_list_url;
    std::string rating_url;
    std::string weight_store_url;
    /// Derived from the text of the setting vm-key.
    vm_key key;
    std::string session_secret;
    std::vector<key_hash> operator_key_hashes;
    std::string tls_certificate_file;
    std::string tls_key_file;
    std::string trace_file;
    std::string trace_url;
    std::string port_file;
    std::chrono::milliseconds notice_time{};
    std::chrono::milliseconds drain_time{};
    /// Maximum number of bytes that requests and unread answers of all callers hold together.
    std::size_t client_memory_bytes{0};
    std::size_t max_connections{0};
};

using environment = std::map<std::string, std::string>;

/// @return the text of --help.
std::string settings_help();

/// Reads the settings. Flags override environment variables, and these override defaults.
/// @param arguments the command line without the program's name. @param variables the process's environment.
/// @return the settings, or invalid_argument with a one-line message that names the invalid setting.
outcome<node_settings> read_settings(const std::vector<std::string>& arguments, const environment& variables);

} // namespace agatespar
