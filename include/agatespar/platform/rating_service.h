// Interface to the platform's rating service, which rates answers as good or bad.
#pragma once

#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>

#include <chrono>
#include <functional>
#include <string>

namespace agatespar {

struct rating_request {
    std::string request_text;
    std::string answer_text;
    /// The version that gave the answer, with its fleet.
    version_id version;
    /// The class of the request, e.g. "question".
    std::string request_class;
    std::chrono::milliseconds timeout{2000};
};

enum class rating {
    good,
    bad,
};

using rating_callback = std::function<void(outcome<rating>)>;

/// The operations of the rating service. Callbacks run on the loop's thread, never from within the call.
struct rating_service {
    std::function<void(rating_request, rating_callback)> rate;
};

} // namespace agatespar
