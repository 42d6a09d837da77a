// Parses URLs with GLib.
#include "http_target.h"

#include <glib.h>

#include <algorithm>
#include <memory>

namespace agatespar {

static constexpr std::uint16_t http_port = 80;
static constexpr std::uint16_t https_port = 443;

bool has_control_character(const std::string& text, bool allows_blanks)
{
    return std::any_of(text.begin(), text.end(), [allows_blanks](unsigned char c) {
        return c == ' ' || c == '\t' ? !allows_blanks : g_ascii_iscntrl(c);
    });
}

std::optional<http_target> parse_http_url(const std::string& url)
{
    // Path and query are sent as they are given.
    static constexpr int flags = G_URI_FLAGS_ENCODED_PATH | G_URI_FLAGS_ENCODED_QUERY | G_URI_FLAGS_ENCODED_FRAGMENT;
    const std::unique_ptr<GUri, decltype(&g_uri_unref)> uri{
        g_uri_parse(url.c_str(), static_cast<GUriFlags>(flags), nullptr), &g_uri_unref};
    if (!uri || g_uri_get_host(uri.get()) == nullptr) {
        return std::nullopt;
    }
    const std::string scheme{g_uri_get_scheme(uri.get())};
    http_target target;
    target.origin.uses_tls = scheme == "https";
    target.origin.host = g_uri_get_host(uri.get());
    if ((scheme != "http" && scheme != "https") || target.origin.host.empty()) {
        return std::nullopt;
    }
    const std::uint16_t default_port = target.origin.uses_tls ? https_port : http_port;
    const int port = g_uri_get_port(uri.get());
    target.origin.port = port < 0 ? default_port : static_cast<std::uint16_t>(port);
    const bool is_ipv6 = target.origin.host.find(':') != std::string::npos;
    target.authority = is_ipv6 ? '[' + target.origin.host + ']' : target.origin.host;
    if (target.origin.port != default_port) {
        target.authority += ':' + std::to_string(target.origin.port);
    }
    const std::string path{g_uri_get_path(uri.get())};
    target.resource = path.empty() ? "/" : path;
    if (const char* query = g_uri_get_query(uri.get()); query != nullptr) {
        target.resource.append("?").append(query);
    }
    if (has_control_character(target.authority, false) || has_control_character(target.resource, false)) {
        return std::nullopt;
    }
    return target;
}

} // namespace agatespar
