// Splits qualified names at their separators.
#include "json_archive.h"

#include <agatespar/config/name_text.h>

#include <charconv>

namespace agatespar {

outcome<std::pair<std::string, std::string>> split_qualified(std::string_view text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos || !is_name(text.substr(0, slash)) || !is_name(text.substr(slash + 1))) {
        return failure(error_code::invalid_argument, "\"" + std::string{text} + "\" is not of the form FLEET/NAME");
    }
    return std::pair{std::string{text.substr(0, slash)}, std::string{text.substr(slash + 1)}};
}

outcome<version_id> parse_version_id(std::string_view text)
{
    const std::size_t at = text.find('@');
    const outcome<model_id> model = parse_qualified<model_name>(text.substr(0, at));
    if (at == std::string_view::npos || !model || !is_name(text.substr(at + 1))) {
        return failure(error_code::invalid_argument,
                       "\"" + std::string{text} + "\" is not of the form FLEET/MODEL@VERSION");
    }
    return version_id{*model, version_name{std::string{text.substr(at + 1)}}};
}

outcome<std::map<version_name, double>> parse_shares(const std::vector<std::string>& texts)
{
    std::map<version_name, double> shares;
    for (const std::string& text : texts) {
        const std::size_t equals = text.find('=');
        const std::string name = text.substr(0, equals);
        double share = -1.0;
        const char* end = text.data() + text.size();
        const char* first = equals == std::string::npos ? end : text.data() + equals + 1;
        const std::from_chars_result read = std::from_chars(first, end, share);
        if (!is_name(name) || read.ec != std::errc{} || read.ptr != end || !(share >= 0.0 && share <= 1.0)) {
            return failure(error_code::invalid_argument,
                           "\"" + text + "\" is not of the form VERSION=SHARE with a share between 0 and 1");
        }
        if (!shares.emplace(version_name{name}, share).second) {
            return failure(error_code::invalid_argument, "the version " + name + " appears twice");
        }
    }
    return shares;
}

} // namespace agatespar
