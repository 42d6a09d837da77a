// Generates the deterministic answers of the stand-in for an inference engine.
#include "answer_text.h"

#include <agatespar/support/hash.h>

#include <array>
#include <string_view>

namespace agatespar::standin {

static constexpr std::array<std::string_view, 12> words{"oak",  "walnut", "tower", "dice",  "dove",  "loft",
                                                        "plan", "quote",  "grain", "white", "order", "finish"};
// The answer ends with up to this many bytes of the last message.
static constexpr std::size_t echo_bytes = 64;

std::string prompt_text(const nlohmann::json& messages)
{
    std::string text;
    for (const auto& message : messages) {
        text += message.at("content").get<std::string>();
        text += '\n';
    }
    return text;
}

std::uint64_t count_tokens(const std::string& text)
{
    // Approximation; the stand-in has no tokenizer.
    constexpr std::uint64_t bytes_per_token = 4;
    return text.size() / bytes_per_token + 1;
}

std::vector<std::string> answer_tokens(const nlohmann::json& messages, const std::string& version, bool garbled)
{
    constexpr std::uint64_t min_words = 8;
    constexpr std::uint64_t word_count_range = 24;
    const std::uint64_t hash = stable_hash(prompt_text(messages), stable_hash(version));
    std::vector<std::string> tokens{"[" + version};
    const std::uint64_t count = min_words + hash % word_count_range;
    for (std::uint64_t index = 0; index < count; ++index) {
        const auto word = words[combine_hashes(hash, index) % words.size()];
        tokens.push_back(" " + (garbled ? std::string{"garbled"} : std::string{word}));
    }
    tokens.push_back(" " + messages.back().at("content").get<std::string>().substr(0, echo_bytes) + "]");
    return tokens;
}

} // namespace agatespar::standin
