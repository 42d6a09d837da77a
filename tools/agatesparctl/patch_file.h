// Reads patches from files.
#pragma once

#include <agatespar/config/patch.h>
#include <agatespar/support/outcome.h>

#include <string>
#include <vector>

namespace agatespar {

/// Reads and parses all files, so that an invalid file is found before any patch is submitted.
/// @return the patches, or the first problem with its file and position.
outcome<std::vector<patch>> read_patch_files(const std::vector<std::string>& names);

} // namespace agatespar
