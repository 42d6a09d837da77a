// Orders VMs by hashes, so that VMs with the same list agree on its readers without talking.
#include <agatespar/gateway/vm_list.h>
#include <agatespar/support/hash.h>
#include <agatespar/support/json.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>

namespace agatespar {

using nlohmann::json;

static constexpr std::string_view vm_prefix = "vm/";
// Where a few VMs read for themselves, one reader may be lost; among many, a zone and one more.
static constexpr std::size_t few_readers = 2;
static constexpr std::size_t many_readers = 3;
// Two, so that one VM that was just lost, or cut off from the store, leaves nobody behind.
static constexpr std::size_t most_sources = 2;

std::string vm_record_key(const std::string& vm_name)
{
    return std::string{vm_prefix} + vm_name;
}

keyed_record write_vm(const listed_vm& vm)
{
    const json document{{"zone", vm.zone.value()},
                        {"address", vm.address},
                        {"link_mbps", vm.link_mbps},
                        {"cpu_share", vm.cpu_share},
                        {"turn", vm.turn}};
    return {vm_record_key(vm.name), document.dump(), 0};
}

outcome<listed_vm> read_vm(const keyed_record& record)
{
    if (!record.key.starts_with(vm_prefix)) {
        return failure(error_code::not_found, "the record is about no VM");
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
    return std::min(vms, vms <= most_flat_vms ? few_readers : many_readers);
}

std::vector<listed_vm> reading_order(const std::map<std::string, listed_vm>& vms)
{
    std::map<zone_name, std::vector<listed_vm>> zones;
    for (const auto& [name, vm] : vms) {
        zones[vm.zone].push_back(vm);
    }
    std::size_t most = 0;
    for (auto& [zone, members] : zones) {
        const auto rank = [](const listed_vm& vm) {
            return std::tuple{-vm.link_mbps, -vm.cpu_share, stable_hash(vm.name)};
        };
        std::sort(members.begin(), members.end(),
                  [&rank](const listed_vm& left, const listed_vm& right) { return rank(left) < rank(right); });
        most = std::max(most, members.size());
    }
    std::vector<listed_vm> order;
    order.reserve(vms.size());
    for (std::size_t turn = 0; turn < most; ++turn) {
        for (const auto& [zone, members] : zones) {
            if (turn < members.size()) {
                order.push_back(members[turn]);
            }
        }
    }
    return order;
}

reading_plan plan_reading(const std::vector<listed_vm>& order, const zone_name& zone,
                          const std::function<bool(const std::string&)>& is_silent)
{
    const std::size_t wanted = reader_count(order.size());
    const bool has_tree = order.size() > most_flat_vms;
    reading_plan plan;
    for (const listed_vm& vm : order) {
        const bool reads = plan.readers.size() < wanted;
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

/// @return the place of a VM in its zone's order; a VM that is not listed yet comes last.
static std::size_t place_of(const reading_plan& plan, const std::string& vm_name)
{
    const auto found = std::find_if(plan.zone_order.begin(), plan.zone_order.end(),
                                    [&vm_name](const listed_vm& vm) { return vm.name == vm_name; });
    return static_cast<std::size_t>(found - plan.zone_order.begin());
}

/// @return the first of the two places above a place that is no lead's.
static std::size_t place_above(std::size_t place)
{
    return (place - zone_leads) / tree_width;
}

std::size_t depth_of(const reading_plan& plan, const std::string& vm_name)
{
    std::size_t depth = 0;
    for (std::size_t place = place_of(plan, vm_name); place >= zone_leads; place = place_above(place)) {
        ++depth;
    }
    return depth;
}

static std::vector<listed_vm> choose_readers(const reading_plan& plan, const listed_vm& self)
{
    std::vector<listed_vm> sources;
    std::copy_if(plan.readers.begin(), plan.readers.end(), std::back_inserter(sources),
                 [&self](const listed_vm& reader) { return reader.name != self.name; });
    const auto rank = [&self](const listed_vm& reader) {
        const bool far = reader.zone != self.zone;
        return std::pair{far, combine_hashes(stable_hash(self.name), stable_hash(reader.name))};
    };
    std::sort(sources.begin(), sources.end(),
              [&rank](const listed_vm& left, const listed_vm& right) { return rank(left) < rank(right); });
    if (sources.size() > most_sources) {
        sources.resize(most_sources);
    }
    return sources;
}

std::vector<listed_vm> choose_sources(const reading_plan& plan, const listed_vm& self)
{
    const std::size_t place = place_of(plan, self.name);
    if (place < zone_leads || plan.zone_order.size() < zone_leads) {
        return choose_readers(plan, self);
    }
    const std::size_t above = place_above(place);
    return {plan.zone_order[above], plan.zone_order[above + 1]};
}

} // namespace agatespar
