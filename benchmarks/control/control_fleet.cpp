// Runs the simulated fleet: starts the nodes, advances time and delivers messages.
#include "control_fleet.h"

#include "counted_heap.h"

#include <agatespar/wire/frame.h>

#include <algorithm>
#include <ctime>
#include <utility>

namespace agatespar {

namespace {

constexpr std::chrono::milliseconds tick_interval{100};
// nng sends an 8-byte length before each message on TCP.
constexpr std::uint64_t nng_header_bytes = 8;
// One poll of a server's load over a persistent connection: request and answer with their HTTP headers.
constexpr std::uint64_t poll_request_bytes = 120;
constexpr std::uint64_t poll_answer_bytes = 380;
// A request to a peer for one configuration change, and its answer.
constexpr std::size_t config_pull_bytes = 24;
constexpr std::size_t config_change_bytes = 400;
constexpr std::uint32_t cold_slots = 2;
constexpr std::uint32_t slots = 20;
constexpr std::size_t models = 11;

} // namespace

control_fleet::control_fleet(const fleet_settings& settings) : settings_(settings), random_(settings.seed)
{
    const frame sample{boot_id{random_()},  "10.123.45.67:7400",
                       1'000'000,           wall_time{std::chrono::hours{480'000}},
                       message_kind::probe, {}};
    frame_overhead_ = seal_frame(sample, vm_key{}).size() + nng_header_bytes;
    count_heap_of(settings.nodes);
    nodes_.resize(settings.nodes);
    result_.nodes.resize(settings.nodes);
    servers_.resize(settings.zones);
    for (std::size_t index = 0; index < settings.servers; ++index) {
        const std::size_t zone = index % settings.zones;
        const server_key key{random_()};
        server_position_[key] = {zone, servers_[zone].size()};
        servers_[zone].push_back(server{key, 0, 0});
    }
    for (std::size_t index = 0; index < settings.nodes; ++index) {
        node& each = nodes_[index];
        each.index = static_cast<std::uint32_t>(index);
        each.zone = index % settings.zones;
        each.address = vm_address{"10.20." + std::to_string(each.zone) + "." + std::to_string(index) + ":7400"};
        node_by_address_[each.address.value()] = each.index;
        start_node(each);
    }
    list_vms();
}

void control_fleet::start_node(node& each)
{
    const heap_scope scope{each.index};
    each.boot = boot_id{random_()};
    address_by_boot_[each.boot] = each.address;
    const zone_name zone{"zone-" + std::to_string(each.zone)};
    membership_settings member_settings;
    member_settings.boot = each.boot;
    member_settings.address = each.address;
    member_settings.zone = zone;
    each.members = std::make_unique<membership>(member_settings, random_(), now_, wall_time{now_.time_since_epoch()});
    permit_service_settings permit_settings;
    permit_settings.self = each.boot;
    each.permits = std::make_unique<permit_service>(
        permit_settings, [this, &each](boot_id to, message_kind kind, const std::string& payload) {
            send(each, address_by_boot_.at(to), kind, payload);
        });
    std::vector<backend_server> backends;
    for (const server& one : servers_[each.zone]) {
        backends.push_back({one.key, cold_slots, slots, false});
    }
    each.permits->set_servers(std::move(backends), now_);
    each.directory = std::make_unique<zone_directory>(zone_directory_settings{zone, region_name{"region"}}, random_());
    local_zone_state local;
    for (std::size_t model = 0; model < models; ++model) {
        local.capacity.push_back({"fleet/model-" + std::to_string(model), 100});
    }
    each.directory->set_local(std::move(local));
    each.view = 0;
    each.config = config_number{0};
    each.starts_at = now_;
}

void control_fleet::list_vms()
{
    std::map<std::size_t, std::vector<listed_member>> by_zone;
    std::map<zone_name, std::vector<vm_address>> entries;
    for (const node& each : nodes_) {
        by_zone[each.zone].push_back({each.address, false});
        entries[zone_name{"zone-" + std::to_string(each.zone)}].push_back(each.address);
    }
    for (node& each : nodes_) {
        const heap_scope scope{each.index};
        each.members->set_listed(by_zone[each.zone]);
        each.directory->set_listed(entries);
    }
}

fleet_result control_fleet::run()
{
    const std::clock_t cpu_start = std::clock();
    const steady_time measure_from = now_ + settings_.warm_up;
    const steady_time end = measure_from + settings_.length;
    while (now_ < end) {
        measuring_ = now_ >= measure_from;
        step();
    }
    result_.seconds = std::chrono::duration<double>(settings_.length).count();
    result_.cpu_seconds = static_cast<double>(std::clock() - cpu_start) / CLOCKS_PER_SEC;
    for (const node& each : nodes_) {
        result_.from_store += each.permits->holder().counters().acquired_from_store;
    }
    return std::move(result_);
}

void control_fleet::step()
{
    now_ += tick_interval;
    for (node& each : nodes_) {
        if (now_ >= each.starts_at) {
            const heap_scope scope{each.index};
            tick_node(each);
        }
    }
    end_work();
    start_requests();
    change_config();
    churn();
    deliver_all();
    check_config();
    const auto& heap = heap_bytes();
    result_.largest_heap = std::max(result_.largest_heap, *std::max_element(heap.begin(), heap.end()));
}

void control_fleet::tick_node(node& each)
{
    const wall_time wall{now_.time_since_epoch()};
    membership_output output = each.members->tick(now_);
    for (const auto& message : output.messages) {
        send(each, message.to, message.kind, message.payload);
    }
    handle_events(each, output.events);
    if (each.view != each.members->view_version()) {
        each.view = each.members->view_version();
        each.permits->set_view(each.members->owners(), each.members->has_majority(), now_);
    }
    each.permits->tick(now_);
    poll_servers(each);
    if (const auto table = each.permits->make_table_update(now_, wall)) {
        each.members->publish(*table, false);
    }
    for (const auto& message : each.directory->tick(*each.members, now_, wall)) {
        send(each, message.to, message.kind, message.payload);
    }
}

void control_fleet::handle_events(node& each, const std::vector<membership_event>& events)
{
    for (const membership_event& event : events) {
        if (event.kind == membership_event_kind::died || event.kind == membership_event_kind::left) {
            each.permits->on_member_gone(event.member.boot, now_);
            const node& real = nodes_[node_by_address_.at(event.member.address.value())];
            result_.false_deaths += real.boot == event.member.boot && now_ >= real.starts_at ? 1 : 0;
        }
        if (event.kind != membership_event_kind::item) {
            continue;
        }
        if (event.item.kind == gossip_kind::server_table) {
            each.permits->on_table(event.item.name, event.item.bytes, now_);
        }
        if (event.item.kind == gossip_kind::zone_summary) {
            each.directory->on_item(event.item, now_);
        }
        if (event.item.kind == gossip_kind::config_head && event.item.version > each.config.value()) {
            each.config = config_number{event.item.version};
            send(each, event.member.address, message_kind::config_pull, std::string(config_pull_bytes, '.'));
        }
    }
}

void control_fleet::poll_servers(node& each)
{
    for (const server_key key : each.permits->owner().take_due_polls(now_)) {
        const auto [zone, position] = server_position_.at(key);
        const server& polled = servers_[zone][position];
        load_report report;
        report.start = server_start_id{1};
        report.running = polled.running;
        report.slots = slots;
        report.warm = true;
        report.age = tick_interval;
        each.permits->owner().on_report(key, report, now_, now_);
        count(each.index, poll_kind, poll_request_bytes, true);
        count(each.index, poll_kind, poll_answer_bytes, false);
    }
}

void control_fleet::send(const node& from, const vm_address& to, message_kind kind, const std::string& payload)
{
    const std::uint32_t target = node_by_address_.at(to.value());
    const heap_scope scope{UINT32_MAX};
    if (target != from.index) {
        count(from.index, static_cast<std::uint8_t>(kind), payload.size() + frame_overhead_, true);
    }
    queue_.push_back({from.boot, target, kind, std::string{payload}});
}

void control_fleet::count(std::uint32_t index, std::uint8_t kind, std::uint64_t bytes, bool out)
{
    if (!measuring_) {
        return;
    }
    const heap_scope scope{UINT32_MAX};
    traffic& counted = result_.nodes[index][kind];
    (out ? counted.bytes_out : counted.bytes_in) += bytes;
    ++(out ? counted.messages_out : counted.messages_in);
}

void control_fleet::deliver_all()
{
    while (!queue_.empty()) {
        for (const in_flight& message : std::exchange(queue_, {})) {
            deliver(message);
        }
    }
}

void control_fleet::deliver(const in_flight& message)
{
    node& target = nodes_[message.to];
    if (now_ < target.starts_at) {
        return;
    }
    const heap_scope scope{target.index};
    if (message.from != target.boot) {
        count(target.index, static_cast<std::uint8_t>(message.kind), message.payload.size() + frame_overhead_, false);
    }
    switch (message.kind) {
    case message_kind::permit_request:
    case message_kind::permit_grant:
    case message_kind::permit_release:
        target.permits->on_message(message.from, message.kind, message.payload, now_);
        return;
    case message_kind::zone_summary:
        target.directory->on_message(message.payload, *target.members, now_);
        return;
    case message_kind::config_pull:
        send(target, address_by_boot_.at(message.from), message_kind::config_state,
             std::string(config_change_bytes, '.'));
        return;
    case message_kind::config_state:
        return;
    default:
        break;
    }
    membership_output output = target.members->on_message(message.kind, message.payload, now_);
    for (const auto& answer : output.messages) {
        send(target, answer.to, answer.kind, answer.payload);
    }
    handle_events(target, output.events);
}

} // namespace agatespar
