// Priority of a request among those that wait at a server.
#pragma once

#include <agatespar/support/units.h>

namespace agatespar {

/// Shortest prompt first: a prompt that is processed in milliseconds hardly delays a long one, but would wait seconds
/// behind it (shortest job first has the least mean wait; W. E. Smith, 1956).
/// @param tokens prompt tokens that the server has to process.
/// @return 0 to 9, where 0 is served first.
int prompt_priority(token_count tokens);

} // namespace agatespar
