// Writes and reads the VMs' verdicts on requests that crash servers.
#include <agatespar/gateway/crash_record.h>
#include <agatespar/wire/codec.h>

namespace agatespar {

// The names of services, which the other records of the topic end with, contain no slash.
static constexpr std::string_view key_suffix = "//crashes";

keyed_record write_crash_record(const std::vector<gossip_item>& items, const std::string& vm_name)
{
    return {vm_name + std::string{key_suffix}, encode(items), 0};
}

bool is_crash_record(const keyed_record& record)
{
    return std::string_view{record.key}.ends_with(key_suffix);
}

outcome<std::vector<gossip_item>> read_crash_record(std::string_view value)
{
    return decode<std::vector<gossip_item>>(value);
}

} // namespace agatespar
