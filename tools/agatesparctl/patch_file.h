// Patches in files.
#pragma once

#include <agatespar/config/patch.h>
#include <agatespar/support/outcome.h>

#include <string>
#include <vector>

namespace agatespar {

/// Reads all files before anything is done with one. @return the patches, or the first problem with its file and place.
outcome<std::vector<patch>> read_patch_files(const std::vector<std::string>& names);

} // namespace agatespar
