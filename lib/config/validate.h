// The rules that hold in each accepted configuration.
#pragma once

#include <agatespar/config/configuration.h>
#include <agatespar/support/outcome.h>

namespace agatespar {

/// Checks all names, shares, successors and credentials.
/// @return invalid_argument with the first rule that is broken.
outcome<void> validate(const configuration& config);

/// Builds the look-up from key hashes to accounts of a valid configuration.
void index_accounts(configuration& config);

} // namespace agatespar
