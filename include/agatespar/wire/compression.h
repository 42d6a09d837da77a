// Compresses payloads that are sent to many VMs.
#pragma once

#include <agatespar/support/outcome.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace agatespar {

/// @return the bytes in zlib's format.
std::string compress(std::string_view bytes);

/// @param most_bytes that may come out. @return what was compressed, or malformed.
outcome<std::string> decompress(std::string_view bytes, std::size_t most_bytes);

} // namespace agatespar
