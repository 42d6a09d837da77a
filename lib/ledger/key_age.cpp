// Determines a key's time from a version 7 UUID or from the time sent along with it.
#include <agatespar/ledger/key_age.h>

#include <cctype>
#include <charconv>
#include <cstdint>
#include <ctime>
#include <string>

namespace agatespar {

static constexpr std::size_t uuid_length = 36;
static constexpr std::size_t uuid_version_position = 14;
static constexpr std::size_t uuid_variant_position = 19;
static constexpr std::size_t uuid_time_digits = 12;

static bool is_dash_position(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

static bool has_uuid_format(std::string_view text)
{
    if (text.size() != uuid_length) {
        return false;
    }
    for (std::size_t position = 0; position < text.size(); ++position) {
        const auto character = static_cast<unsigned char>(text[position]);
        if (is_dash_position(position) ? character != '-' : std::isxdigit(character) == 0) {
            return false;
        }
    }
    return true;
}

static wall_time from_milliseconds(std::int64_t since_epoch)
{
    return wall_time{std::chrono::milliseconds{since_epoch}};
}

std::optional<wall_time> uuid_v7_time(std::string_view text)
{
    if (!has_uuid_format(text) || text[uuid_version_position] != '7' ||
        std::string_view{"89abAB"}.find(text[uuid_variant_position]) == std::string_view::npos) {
        return std::nullopt;
    }
    std::string digits{text.substr(0, 8)};
    digits += text.substr(9, 4);
    std::int64_t since_epoch = 0;
    std::from_chars(digits.data(), digits.data() + uuid_time_digits, since_epoch, 16);
    return from_milliseconds(since_epoch);
}

static std::optional<wall_time> milliseconds_time(std::string_view text)
{
    // Values up to 2^43 ms (the year 2248) are accepted, so that adding any duration in use does not overflow
    // wall_time.
    if (text.empty() || text.size() > 15) {
        return std::nullopt;
    }
    std::int64_t since_epoch = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), since_epoch);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || since_epoch < 0 ||
        since_epoch > (std::int64_t{1} << 43)) {
        return std::nullopt;
    }
    return from_milliseconds(since_epoch);
}

static std::optional<wall_time> rfc3339_time(std::string_view text)
{
    const std::string copy{text};
    std::tm parts{};
    const char* rest = strptime(copy.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (rest == nullptr) {
        return std::nullopt;
    }
    if (*rest == '.') {
        ++rest;
        while (std::isdigit(static_cast<unsigned char>(*rest)) != 0) {
            ++rest;
        }
    }
    if (std::string_view{rest} != "Z") {
        return std::nullopt;
    }
    return std::chrono::system_clock::from_time_t(timegm(&parts));
}

outcome<wall_time> key_time_of(const idempotency_key& key, std::string_view sent_time)
{
    if (const auto own = uuid_v7_time(key.value())) {
        return *own;
    }
    if (const auto number = milliseconds_time(sent_time)) {
        return *number;
    }
    if (const auto date = rfc3339_time(sent_time)) {
        return *date;
    }
    // An earlier submission of the same key may have included its time and run.
    return tl::make_unexpected(
        error{error_code::invalid_argument,
              "the age of the idempotency key is unknown: use a version 7 UUID, or send the key's time along with it",
              run_state::outcome_unknown, std::nullopt});
}

outcome<void> check_key_age(wall_time key_time, wall_time now, const ledger_settings& settings)
{
    if (key_time > now + settings.max_clock_skew) {
        return failure(error_code::invalid_argument, "the time of the idempotency key is in the future");
    }
    if (key_time < now - settings.key_window) {
        return tl::make_unexpected(error{error_code::outcome_unknown,
                                         "the idempotency key is too old to determine whether its request ran",
                                         run_state::outcome_unknown, std::nullopt});
    }
    return {};
}

} // namespace agatespar
