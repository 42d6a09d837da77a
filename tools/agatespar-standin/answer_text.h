// The text that an engine's stand-in answers with: fixed by the prompt and the version, so that tests can check it.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace agatespar::standin {

/// @param messages the conversation, an array of {"role", "content"}.
/// @return all contents, one after the other.
std::string prompt_text(const nlohmann::json& messages);

/// @return about how many tokens a text has.
std::uint64_t count_tokens(const std::string& text);

/// The answer's tokens. The first is "[<model>@<version>", the last "<last content, at most 64 bytes>]"; the number
/// and the words between follow from a hash of the prompt and the version.
/// @param garbled puts the word "garbled" in place of each word between.
std::vector<std::string> answer_tokens(const nlohmann::json& messages, const std::string& version, bool garbled);

} // namespace agatespar::standin
