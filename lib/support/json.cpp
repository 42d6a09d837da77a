// Checks size and depth before the JSON library builds a document, so that input over the limits is never parsed.
#include <agatespar/support/json.h>

#include <nlohmann/json.hpp>

namespace agatespar {

/// @return the deepest nesting of brackets outside of strings.
static std::size_t nesting_depth(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (in_string) {
            i += c == '\\' ? 1 : 0;
            in_string = c != '"';
            continue;
        }
        in_string = c == '"';
        if (c == '[' || c == '{') {
            deepest = std::max(deepest, ++depth);
        }
        if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

outcome<nlohmann::json> parse_json(std::string_view text, const json_limits& limits)
{
    if (text.size() > limits.bytes) {
        return failure(error_code::too_large, "the JSON text exceeds " + std::to_string(limits.bytes) + " bytes");
    }
    if (nesting_depth(text) > limits.depth) {
        return failure(error_code::too_large, "the JSON text nests deeper than " + std::to_string(limits.depth));
    }
    try {
        return nlohmann::json::parse(text);
    }
    catch (const nlohmann::json::exception& problem) {
        return failure(error_code::malformed, problem.what());
    }
}

std::uint64_t read_whole_number(const nlohmann::json& number, std::string_view name, std::uint64_t max)
{
    if (!number.is_number_unsigned() || number.get<std::uint64_t>() > max) {
        throw std::invalid_argument{std::string{name} + " is not a whole number up to " + std::to_string(max)};
    }
    return number.get<std::uint64_t>();
}

} // namespace agatespar
