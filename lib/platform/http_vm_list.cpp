// Client of the VM list over HTTP.
#include "json_answer.h"

#include <agatespar/platform/http_vm_list.h>

#include <optional>

namespace agatespar {

static std::optional<vm_kind> parse_kind(const std::string& name)
{
    if (name == "entry") {
        return vm_kind::entry;
    }
    if (name == "engine") {
        return vm_kind::engine;
    }
    if (name == "plain") {
        return vm_kind::plain;
    }
    return std::nullopt;
}

// Unknown states are treated as leaving, so that such a VM gets no new requests.
static vm_state parse_state(const std::string& name)
{
    return name == "live" ? vm_state::live : vm_state::leaving;
}

static outcome<std::vector<vm_entry>> read_entries(const outcome<http_response>& answer)
{
    const auto document = read_json_answer(answer);
    if (!document) {
        return tl::make_unexpected(document.error());
    }
    if (!document->contains("vms")) {
        return malformed_answer("the VM list has no field \"vms\"");
    }
    std::vector<vm_entry> entries;
    for (const nlohmann::json& item : array_field(*document, "vms")) {
        const auto kind = parse_kind(string_field(item, "kind"));
        vm_entry entry;
        entry.name = server_name{string_field(item, "name")};
        entry.address = string_field(item, "address");
        if (!kind || entry.name.value().empty() || entry.address.empty()) {
            return malformed_answer("an entry of the VM list has no known kind, no name or no address");
        }
        entry.kind = *kind;
        entry.fleet = fleet_name{string_field(item, "fleet")};
        entry.zone = zone_name{string_field(item, "zone")};
        entry.region = region_name{string_field(item, "region")};
        entry.service = service_name{string_field(item, "service")};
        entry.state = parse_state(string_field(item, "state"));
        entry.cold_slots = static_cast<std::uint32_t>(number_field(item, "cold_slots", 1));
        entry.slots = static_cast<std::uint32_t>(number_field(item, "slots", 1));
        entry.fences = bool_field(item, "fences");
        entries.push_back(std::move(entry));
    }
    return entries;
}

vm_list_service make_http_vm_list(const http_client& client, const std::string& base_url)
{
    vm_list_service list;
    list.fetch = [client, base_url](vm_list_callback callback) {
        http_request call;
        call.url = base_url + "/v1/vms";
        client.send(std::move(call), [callback = std::move(callback)](const outcome<http_response>& answer) {
            callback(read_entries(answer));
        });
    };
    return list;
}

} // namespace agatespar
