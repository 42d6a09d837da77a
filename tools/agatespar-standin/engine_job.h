// Faults and jobs of the stand-in for an inference engine.
#pragma once

#include "role.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace agatespar::standin {

/// The faults that the stand-in for an inference engine simulates.
struct engine_faults {
    /// Refuses all completions.
    bool refuse{false};
    /// Refuses all completions and reports the server as leaving.
    bool leave{false};
    /// Ends streams without their end event.
    bool no_end{false};
    /// Sends events with the id of another attempt.
    bool crossed{false};
    /// Tokens after which the connection of each attempt is closed; zero for never.
    std::uint64_t break_stream_after{0};
    /// Additional time before the first token.
    std::chrono::milliseconds late{0};
    /// "model@version" of the versions that give garbled answers.
    std::set<std::string> bad;

    /// Sets the faults that the object contains.
    void update(const nlohmann::json& faults)
    {
        read_field(faults, "refuse", refuse);
        read_field(faults, "leave", leave);
        read_field(faults, "no_end", no_end);
        read_field(faults, "crossed", crossed);
        read_field(faults, "break_stream_after", break_stream_after);
        read_field(faults, "late_ms", late);
        read_field(faults, "bad", bad);
    }
};

/// One running or queued attempt.
struct job {
    std::shared_ptr<exchange> call;
    std::uint64_t attempt{0};
    std::string session;
    int priority{0};
    bool stream{true};
    std::string finish_reason;
    std::vector<std::string> tokens;
    /// Index of the next token to send; a resumed attempt starts above zero.
    std::uint64_t next{0};
    /// Number of tokens that this attempt has sent.
    std::uint64_t sent{0};
    std::uint64_t prompt_tokens{0};
    std::uint64_t cached_tokens{0};
    /// Start id of the engine run that accepted the job; jobs of earlier runs are dropped.
    std::uint64_t start{0};
};

using job_handle = std::shared_ptr<job>;

} // namespace agatespar::standin
