// Reads patch files up to the maximum size of a patch.
#include "patch_file.h"

#include <fstream>

namespace agatespar {

static outcome<std::string> read_file(const std::string& name)
{
    std::ifstream input{name, std::ios::binary};
    std::string text(max_patch_bytes + 1, '\0');
    input.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!input.eof() && !input.good()) {
        return failure(error_code::not_found, name + ": can't be read");
    }
    text.resize(static_cast<std::size_t>(input.gcount()));
    return text;
}

outcome<std::vector<patch>> read_patch_files(const std::vector<std::string>& names)
{
    std::vector<patch> patches;
    for (const std::string& name : names) {
        const outcome<patch> change =
            read_file(name).and_then([&name](const std::string& text) { return parse_patch(text, name); });
        if (!change) {
            return tl::make_unexpected(change.error());
        }
        patches.push_back(*change);
    }
    return patches;
}

} // namespace agatespar
