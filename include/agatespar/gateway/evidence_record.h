// The system's own records about roll-outs in the platform's store.
#pragma once

#include <agatespar/gateway/fleet_records.h>

namespace agatespar {

/// @return the record of what this VM saw; each VM has one record for a service. @param vm_name names the VM.
keyed_record write_evidence(const rollout_evidence& evidence, const std::string& vm_name);
/// @return malformed for bytes that are no such record.
outcome<rollout_evidence> read_evidence(std::string_view text);

} // namespace agatespar
