// Orders VMs deterministically, so that VMs with the same list agree on the readers without communication.
#include <agatespar/gateway/vm_list.h>
#include <agatespar/support/hash.h>
#include <agatespar/support/json.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>

namespace agatespar {

using nlohmann::json;

static constexpr std::string_view vm_prefix = "vm/";
// A small fleet tolerates the loss of one reader, a large one the loss of a zone and one more reader.
static constexpr std::size_t readers_of_small_fleet = 2;
static constexpr std::size_t readers_of_large_fleet = 3;
// Two, so that the loss of one upstream, or of its contact with the store, cuts no VM off from changes.
static constexpr std::size_t max_upstreams = 2;

std::string vm_record_key(const std::string& vm_name)
{
    return std::string{vm_prefix} + vm_name;
}

keyed_record write_vm_record(const listed_vm& vm)
{
    const json document{{"zone", vm.zone.value()},
                        {"address", vm.address},
                        {"link_mbps", vm.link_mbps},
                        {"cpu_share", vm.cpu_share},
                        {"turn", vm.turn}};
    return {vm_record_key(vm.name), document.dump(), 0};
}

outcome<listed_vm> read_vm_record(const keyed_record& record)
{
    if (!record.key.starts_with(vm_prefix)) {
        return failure(error_code::not_found, "the record key does not name a VM");
    }
    const auto document = parse_json(record.value.value_or(""));
    if (!document) {
        return tl::make_unexpected(document.error());
    }
    try {
        listed_vm vm;
        vm.name = record.key.substr(vm_prefix.size());
        vm.zone = zone_name{document->at("zone").get<std::string>()};
        vm.address = document->at("address").get<std::string>();
        vm.link_mbps = document->value("link_mbps", 0.0);
        vm.cpu_share = document->value("cpu_share", 0.0);
        vm.turn = document->value("turn", std::uint64_t{0});
        return vm;
    }
    catch (const json::exception& problem) {
        return failure(error_code::malformed, problem.what());
    }
}

std::size_t reader_count(std::size_t vms)
{
    return std::min(vms, vms <= max_flat_vms ? readers_of_small_fleet : readers_of_large_fleet);
}

std::vector<listed_vm> reading_order(const std::map<std::string, listed_vm>& vms)
{
    std::map<zone_name, std::vector<listed_vm>> zones;
    for (const auto& [name, vm] : vms) {
        zones[vm.zone].push_back(vm);
    }
    std::size_t max_zone_size = 0;
    for (auto& [zone, members] : zones) {
        const auto rank = [](const listed_vm& vm) {
            return std::tuple{-vm.link_mbps, -vm.cpu_share, stable_hash(vm.name)};
        };
        std::sort(members.begin(), members.end(),
                  [&rank](const listed_vm& left, const listed_vm& right) { return rank(left) < rank(right); });
        max_zone_size = std::max(max_zone_size, members.size());
    }
    std::vector<listed_vm> order;
    order.reserve(vms.size());
    for (std::size_t turn = 0; turn < max_zone_size; ++turn) {
        for (const auto& [zone, members] : zones) {
            if (turn < members.size()) {
                order.push_back(members[turn]);
            }
        }
    }
    return order;
}

reading_plan make_reading_plan(const std::vector<listed_vm>& order, const zone_name& zone,
                               const std::function<bool(const std::string&)>& is_silent)
{
    const std::size_t target_count = reader_count(order.size());
    const bool has_tree = order.size() > max_flat_vms;
    reading_plan plan;
    for (const listed_vm& vm : order) {
        const bool reads = plan.readers.size() < target_count;
        const bool in_tree = has_tree && vm.zone == zone;
        if ((!reads && !in_tree) || is_silent(vm.name)) {
            continue;
        }
        if (reads) {
            plan.readers.push_back(vm);
        }
        if (in_tree) {
            plan.zone_order.push_back(vm);
        }
    }
    return plan;
}

/// @return the position of a VM in its zone's order; the end position for a VM that is not in the list yet.
static std::size_t index_of(const reading_plan& plan, const std::string& vm_name)
{
    const auto found = std::find_if(plan.zone_order.begin(), plan.zone_order.end(),
                                    [&vm_name](const listed_vm& vm) { return vm.name == vm_name; });
    return static_cast<std::size_t>(found - plan.zone_order.begin());
}

/// @return the position of the first of a VM's two parents in the tree. The VM must not be at the root.
static std::size_t first_parent_index(std::size_t index)
{
    return (index - zone_tree_roots) / tree_fanout;
}

std::size_t tree_depth_of(const reading_plan& plan, const std::string& vm_name)
{
    std::size_t depth = 0;
    for (std::size_t index = index_of(plan, vm_name); index >= zone_tree_roots; index = first_parent_index(index)) {
        ++depth;
    }
    return depth;
}

static std::vector<listed_vm> choose_readers(const reading_plan& plan, const listed_vm& self)
{
    std::vector<listed_vm> upstreams;
    std::copy_if(plan.readers.begin(), plan.readers.end(), std::back_inserter(upstreams),
                 [&self](const listed_vm& reader) { return reader.name != self.name; });
    const auto rank = [&self](const listed_vm& reader) {
        const bool in_other_zone = reader.zone != self.zone;
        return std::pair{in_other_zone, combine_hashes(stable_hash(self.name), stable_hash(reader.name))};
    };
    std::sort(upstreams.begin(), upstreams.end(),
              [&rank](const listed_vm& left, const listed_vm& right) { return rank(left) < rank(right); });
    if (upstreams.size() > max_upstreams) {
        upstreams.resize(max_upstreams);
    }
    return upstreams;
}

std::vector<listed_vm> choose_upstreams(const reading_plan& plan, const listed_vm& self)
{
    const std::size_t index = index_of(plan, self.name);
    if (index < zone_tree_roots || plan.zone_order.size() < zone_tree_roots) {
        return choose_readers(plan, self);
    }
    const std::size_t first_parent = first_parent_index(index);
    return {plan.zone_order[first_parent], plan.zone_order[first_parent + 1]};
}

} // namespace agatespar
