// HTTP interface of a VM for operators: health, metrics, status and explanations of requests.
#pragma once

#include <agatespar/config/key_hash.h>
#include <agatespar/frontend/http_server.h>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatespar {

/// Functions that provide the interface's answers, and the hashes of the operators' keys.
struct operator_api_dependencies {
    std::vector<key_hash> key_hashes;
    std::function<bool()> ready;
    std::function<std::string()> metrics;
    std::function<nlohmann::json()> status;
    /// @param request the request's id. @return the sentences that explain how the request was routed, or nothing if it
    /// is unknown.
    std::function<std::optional<std::vector<std::string>>(const std::string& request)> explain;
};

/// Handles /healthz, /readyz and /metrics, and for requests with an operator's key /operator/status and
/// /operator/explain/{request}.
/// @return false if the path is none of these.
bool handle_operator_request(const operator_api_dependencies& dependencies,
                             const std::shared_ptr<http_exchange>& exchange);

} // namespace agatespar
