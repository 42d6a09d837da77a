// Converts the events of one engine's answer into the callbacks of one attempt, and rejects events that do not belong
// to it.
#pragma once

#include "event_stream.h"

#include <agatespar/platform/engine.h>

#include <nlohmann/json_fwd.hpp>

namespace agatespar {

/// Checks that each event has the attempt's id and the next offset, and that the token count of the end event matches.
class completion_stream {
public:
    completion_stream(attempt_id attempt, token_offset resume_from, engine_callbacks callbacks,
                      std::size_t max_event_bytes);

    /// @return whether the answer has ended, with success or a failure, or was abandoned.
    bool ended() const { return ended_; }
    /// Makes no further callbacks. The callbacks are not destroyed, as one of them may be running.
    void abandon() { ended_ = true; }

    void handle_head(const http_head& head);
    void handle_bytes(std::string_view bytes);
    /// Handles the end of the connection. @param result success if the body ended normally, else the failure.
    void handle_close(const outcome<void>& result);

private:
    /// @return false once the answer has ended.
    bool handle_event(std::string_view data);
    void handle_tokens(const nlohmann::json& event);
    void handle_end(const nlohmann::json& event);
    void fail(const error& reason);

    attempt_id attempt_;
    token_offset next_offset_;
    engine_callbacks callbacks_;
    event_stream events_;
    http_head head_;
    std::string error_body_;
    bool ended_{false};
};

} // namespace agatespar
