// Answers of the engine's stand-in. They depend only on the prompt and the version, so that tests can check them.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace agatespar::standin {

/// @param messages the conversation, an array of {"role", "content"}.
/// @return the contents of all messages, each followed by a newline.
std::string prompt_text(const nlohmann::json& messages);

/// @return the approximate number of tokens of a text.
std::uint64_t count_tokens(const std::string& text);

/// @return the tokens of the answer. The first is "[<model>@<version>", the last " <last content, at most 64 bytes>]";
/// the number and the choice of the words between them are derived from a hash of the prompt and the version.
/// @param garbled replaces each of the words between by "garbled".
std::vector<std::string> answer_tokens(const nlohmann::json& messages, const std::string& version, bool garbled);

} // namespace agatespar::standin
