// Codec of session tokens; private to the node.
#pragma once

#include <agatespar/request/session.h>

#include <string>

namespace agatespar {

/// @param secret the session secret of the settings.
session_codec make_session_codec(const std::string& secret);

} // namespace agatespar
