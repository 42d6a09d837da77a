// Answers the requests of operators, and the health and readiness checks of the platform's load balancer.
#include <agatespar/frontend/caller_api.h>
#include <agatespar/node/operator_api.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace agatespar {

static constexpr std::string_view operator_path = "/operator/";
static constexpr std::string_view explain_path = "/operator/explain/";
static constexpr std::string_view bearer_prefix = "Bearer ";

static bool is_operator(const operator_api_dependencies& dependencies, const http_exchange& exchange)
{
    const auto credential = exchange.header("Authorization");
    if (!credential || !credential->starts_with(bearer_prefix)) {
        return false;
    }
    const key_hash hash = hash_key(std::string_view{*credential}.substr(bearer_prefix.size()));
    const auto& known = dependencies.key_hashes;
    return std::find(known.begin(), known.end(), hash) != known.end();
}

static void answer_explain(const operator_api_dependencies& dependencies, http_exchange& exchange)
{
    const std::string request = exchange.path().substr(explain_path.size());
    const auto sentences = dependencies.explain(request);
    if (!sentences) {
        respond_error(exchange, {error_code::not_found, "this VM does not know the request", run_state::not_run, {}},
                      request_id{request});
        return;
    }
    const nlohmann::json document{{"request_id", request}, {"sentences", *sentences}};
    exchange.respond(200, "application/json",
                     document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

bool handle_operator_request(const operator_api_dependencies& dependencies,
                             const std::shared_ptr<http_exchange>& exchange)
{
    const std::string& path = exchange->path();
    if (path == "/healthz") {
        exchange->respond(200, "text/plain", "alive\n");
        return true;
    }
    if (path == "/readyz") {
        const bool ready = dependencies.ready();
        exchange->respond(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
        return true;
    }
    if (path == "/metrics") {
        exchange->respond(200, "text/plain; version=0.0.4", dependencies.metrics());
        return true;
    }
    if (!path.starts_with(operator_path)) {
        return false;
    }
    if (!is_operator(dependencies, *exchange)) {
        respond_error(*exchange, {error_code::unauthenticated, "no operator has this key", run_state::not_run, {}},
                      request_id{});
        return true;
    }
    if (path == "/operator/status") {
        exchange->respond(200, "application/json", dependencies.status().dump() + "\n");
        return true;
    }
    if (path.starts_with(explain_path)) {
        answer_explain(dependencies, *exchange);
        return true;
    }
    respond_error(*exchange, {error_code::not_found, "no such path", run_state::not_run, {}}, request_id{});
    return true;
}

} // namespace agatespar
