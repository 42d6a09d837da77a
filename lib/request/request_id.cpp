// Creates UUIDs of version 7.
#include <agatespar/request/request_id.h>

#include <array>
#include <cstdint>
#include <cstdio>

namespace agatespar {

static constexpr std::size_t uuid_length = 36;

request_id make_request_id(wall_time now, std::mt19937_64& random)
{
    const auto ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count());
    const std::uint64_t high = random();
    const std::uint64_t low = random();
    std::array<char, uuid_length + 1> text{};
    std::snprintf(text.data(), text.size(), "%08x-%04x-7%03x-%04x-%012llx", static_cast<unsigned>(ms >> 16U),
                  static_cast<unsigned>(ms & 0xFFFFU), static_cast<unsigned>(high & 0xFFFU),
                  static_cast<unsigned>(0x8000U | (low >> 50U)),
                  static_cast<unsigned long long>(low & 0xFFFFFFFFFFFFULL));
    return request_id{std::string{text.data()}};
}

} // namespace agatespar
