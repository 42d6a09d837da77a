// How urgent a request is among those that wait at a server.
#pragma once

#include <agatespar/support/units.h>

namespace agatespar {

/// Shortest prompt first: one that is read in milliseconds delays a long one by little, and is delayed by seconds
/// behind it (shortest job first has the least mean wait; W. E. Smith, 1956).
/// @param tokens of the prompt that the server has to read. @return 0 to 9, where 0 is first.
int urgency_of(token_count tokens);

} // namespace agatespar
