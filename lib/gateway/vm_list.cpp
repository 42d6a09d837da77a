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

std::string vm_record_key(const std::string& vm_name)
{
    return std::string{vm_prefix} + vm_name;
}

keyed_record write_vm(const listed_vm& vm)
{
    const json document{
        {"zone", vm.zone.value()}, {"address", vm.address}, {"link_mbps", vm.link_mbps}, {"cpu_share", vm.cpu_share}};
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
        return vm;
    }
    catch (const json::exception& problem) {
        return failure(error_code::malformed, problem.what());
    }
}

std::size_t reader_count(std::size_t vms)
{
    return (vms + vms_per_reader - 1) / vms_per_reader + 1;
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

std::vector<listed_vm> choose_readers(const std::vector<listed_vm>& order,
                                      const std::function<bool(const std::string&)>& is_silent)
{
    const std::size_t wanted = reader_count(order.size());
    std::vector<listed_vm> readers;
    for (const listed_vm& vm : order) {
        if (readers.size() == wanted) {
            break;
        }
        if (!is_silent(vm.name)) {
            readers.push_back(vm);
        }
    }
    return readers;
}

std::vector<listed_vm> choose_sources(const std::vector<listed_vm>& readers, const listed_vm& self, std::size_t count)
{
    std::vector<listed_vm> sources;
    std::copy_if(readers.begin(), readers.end(), std::back_inserter(sources),
                 [&self](const listed_vm& reader) { return reader.name != self.name; });
    const auto rank = [&self](const listed_vm& reader) {
        const bool far = reader.zone != self.zone;
        return std::pair{far, combine_hashes(stable_hash(self.name), stable_hash(reader.name))};
    };
    std::sort(sources.begin(), sources.end(),
              [&rank](const listed_vm& left, const listed_vm& right) { return rank(left) < rank(right); });
    if (sources.size() > count) {
        sources.resize(count);
    }
    return sources;
}

} // namespace agatespar
