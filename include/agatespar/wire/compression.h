// Compression of payloads that are sent to many VMs.
#pragma once

#include <agatespar/support/outcome.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace agatespar {

/// @return the bytes compressed in the zlib format.
std::string compress(std::string_view bytes);

/// @param max_bytes maximum size of the result. @return the decompressed bytes, or malformed, also if the result would
/// be larger.
outcome<std::string> decompress(std::string_view bytes, std::size_t max_bytes);

} // namespace agatespar
