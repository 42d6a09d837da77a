// Checks of the rules that every accepted configuration satisfies.
#pragma once

#include <agatespar/config/configuration.h>
#include <agatespar/support/outcome.h>

namespace agatespar {

/// Checks all names, shares, successors and credentials.
/// @return invalid_argument with the first violated rule.
outcome<void> validate(const configuration& config);

/// Builds the index from key hashes to accounts of a valid configuration.
void index_accounts(configuration& config);

} // namespace agatespar
