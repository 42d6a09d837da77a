// Client of the VM list over HTTP.
#pragma once

#include <agatespar/platform/http_client.h>
#include <agatespar/platform/vm_list.h>

namespace agatespar {

/// Fetches with GET <base>/v1/vms.
/// @param client copied; what it refers to must outlive the result. @param base_url e.g. "http://10.0.0.1:8080".
vm_list_service make_http_vm_list(const http_client& client, const std::string& base_url);

} // namespace agatespar
