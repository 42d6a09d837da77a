// The records in the platform's store with the VMs' evidence about roll-outs.
#pragma once

#include <agatespar/gateway/fleet_records.h>

namespace agatespar {

/// @return the record of one VM's evidence, as JSON. Its key consists of the VM and the service, so each VM has one
/// record per service. @param vm_name name of the VM.
keyed_record write_evidence(const rollout_evidence& evidence, const std::string& vm_name);
/// @return the evidence, or `malformed` if the text is not such a record.
outcome<rollout_evidence> read_evidence(std::string_view text);

} // namespace agatespar
