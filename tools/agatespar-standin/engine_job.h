// The faults of an engine's stand-in, and the work that it has in hand.
#pragma once

#include "role.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace agatespar::standin {

struct engine_faults {
    bool refuse{false};
    bool leave{false};
    bool no_end{false};
    bool crossed{false};
    /// Tokens after which each attempt's connection breaks; zero for never.
    std::uint64_t break_stream_after{0};
    std::chrono::milliseconds late{0};
    /// "model@version" of the versions that answer badly.
    std::set<std::string> bad;

    /// Takes the faults that the object names.
    void take(const nlohmann::json& faults)
    {
        take_field(faults, "refuse", refuse);
        take_field(faults, "leave", leave);
        take_field(faults, "no_end", no_end);
        take_field(faults, "crossed", crossed);
        take_field(faults, "break_stream_after", break_stream_after);
        take_field(faults, "late_ms", late);
        take_field(faults, "bad", bad);
    }
};

/// One attempt that the engine works on or has queued.
struct job {
    std::shared_ptr<exchange> call;
    std::uint64_t attempt{0};
    std::string session;
    int priority{0};
    bool stream{true};
    std::string finish_reason;
    std::vector<std::string> tokens;
    std::uint64_t next{0};
    std::uint64_t sent{0};
    std::uint64_t prompt_tokens{0};
    std::uint64_t cached_tokens{0};
    /// The run of the engine that the job belongs to.
    std::uint64_t start{0};
};

using job_handle = std::shared_ptr<job>;

} // namespace agatespar::standin
