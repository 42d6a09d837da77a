// The records in the platform's store with the VMs' verdicts on requests that crash servers.
#pragma once

#include <agatespar/gateway/fleet_records.h>
#include <agatespar/membership/messages.h>

#include <vector>

namespace agatespar {

/// @return the record of the verdicts that one VM has changed. Each VM has one record.
keyed_record write_crash_record(const std::vector<gossip_item>& items, const std::string& vm_name);
/// @return whether a record of the topic of evidence is one of verdicts on crashes.
bool is_crash_record(const keyed_record& record);
/// @return the items of a record, or `malformed`.
outcome<std::vector<gossip_item>> read_crash_record(std::string_view value);

} // namespace agatespar
