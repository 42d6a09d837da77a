// Finds the route of a request, and chooses among a route's services by weight.
#include <agatespar/gateway/service_map.h>

namespace agatespar {

const service_route* find_route(const service_map& map, std::string_view host, std::string_view target)
{
    host = host.substr(0, host.find(':'));
    const std::string_view path = target.substr(0, target.find('?'));
    const service_route* best = nullptr;
    for (const service_route& route : map.routes) {
        if (!path.starts_with(route.path_prefix) || !equal_without_case(route.host, host)) {
            continue;
        }
        if (best == nullptr || route.path_prefix.size() > best->path_prefix.size()) {
            best = &route;
        }
    }
    return best;
}

const service_name* draw_service(const service_route& route, double draw)
{
    double total = 0;
    for (const service_share& share : route.services) {
        total += share.weight;
    }
    double left = draw * total;
    const service_name* last = nullptr;
    for (const service_share& share : route.services) {
        if (share.weight <= 0) {
            continue;
        }
        last = &share.service;
        left -= share.weight;
        if (left < 0) {
            break;
        }
    }
    return last;
}

bool is_safe_to_retry(const service_route& route)
{
    return route.kind == request_kind::safe || (route.kind == request_kind::streaming && route.resumable);
}

} // namespace agatespar
