// Applies the VM list, polls the load of the servers that this VM owns, and grants and requests permits.
#include <agatespar/node/membership_service.h>
#include <agatespar/node/message_router.h>
#include <agatespar/node/server_service.h>

#include <algorithm>

namespace agatespar {

static constexpr std::chrono::seconds list_interval{2};
static constexpr std::chrono::milliseconds tick_interval{100};

namespace {

/// Payload of a gossip item of kind server_versions.
struct server_versions_message {
    struct loaded_version {
        model_name model;
        version_name version;
        MSGPACK_DEFINE_ARRAY(model, version)
    };

    server_id server;
    std::vector<loaded_version> versions;
    MSGPACK_DEFINE_ARRAY(server, versions)
};

} // namespace

server_service::server_service(event_loop& loop, vm_list_service list, engine_client engine, transport& peer_transport,
                               message_router& router, membership_service& members, server_table& table)
    : loop_(loop), list_(std::move(list)), engine_(std::move(engine)), peer_transport_(peer_transport),
      members_(members), table_(table),
      permits_({members.members().self(), {}, {}},
               [this](boot_id to, message_kind kind, std::string payload) { send(to, kind, std::move(payload)); })
{
    router.handle({message_kind::permit_request, message_kind::permit_grant, message_kind::permit_release},
                  [this](const frame& received) {
                      permits_.on_message(received.sender, received.kind, received.payload, loop_.time().now());
                  });
    members_.listen([this](const membership_event& event) { on_membership_event(event); });
    fetch_list();
    tick();
}

server_service::~server_service()
{
    loop_.cancel(list_timer_);
    loop_.cancel(tick_timer_);
}

void server_service::apply_configuration(const configuration& config)
{
    const zone_settings* zone = find_zone(config, table_.own_zone());
    permits_.set_in_service(zone == nullptr || zone->in_service, loop_.time().now());
}

void server_service::fetch_list()
{
    list_timer_ = loop_.schedule(list_interval, [this] { fetch_list(); });
    const std::weak_ptr<bool> alive = alive_;
    list_.fetch([this, alive](const outcome<std::vector<vm_entry>>& entries) {
        if (entries && !alive.expired()) {
            on_vm_list(*entries);
        }
    });
}

void server_service::on_vm_list(const std::vector<vm_entry>& entries)
{
    list_received_ = true;
    table_.apply_vm_list(entries);
    std::vector<listed_member> listed;
    std::vector<backend_server> servers;
    ids_.clear();
    for (const vm_entry& entry : entries) {
        if (entry.fleet != table_.own_zone().fleet || entry.zone != table_.own_zone().name) {
            continue;
        }
        if (entry.kind == vm_kind::entry) {
            listed.push_back({vm_address{entry.address}, entry.state == vm_state::leaving});
            continue;
        }
        const server_id id{entry.fleet, entry.name};
        const server_key key = key_of(id);
        ids_.emplace(key, id);
        servers.push_back({key, entry.cold_slots, entry.slots, entry.state == vm_state::leaving});
    }
    members_.set_listed(std::move(listed));
    permits_.set_servers(std::move(servers), loop_.time().now());
    for (const list_listener& callback : listeners_) {
        callback(entries);
    }
}

void server_service::on_membership_event(const membership_event& event)
{
    const steady_time now = loop_.time().now();
    if (event.kind == membership_event_kind::item) {
        on_gossip_item(event.item);
        return;
    }
    if (event.kind == membership_event_kind::joined) {
        permits_.start_repeating_table(now);
    }
    if (event.kind == membership_event_kind::presumed_dead) {
        permits_.on_presumed_dead(now);
    }
    if (event.kind == membership_event_kind::died || event.kind == membership_event_kind::left) {
        permits_.on_member_gone(event.member.boot, now);
    }
    update_permit_view();
}

/// Passes a changed view of the zone to the permit service. Also called at each tick, as the majority can change
/// without a membership event when the VM list drops a dead VM.
void server_service::update_permit_view()
{
    const membership& zone = members_.members();
    const permit_zone_view current_view{zone.view_version(), zone.has_majority()};
    if (current_view == last_view_) {
        return;
    }
    last_view_ = current_view;
    permits_.set_view(zone.owners(), zone.has_majority(), loop_.time().now());
    // A table that was received under the previous view may come from the VM that is the owner in the new view.
    for (const gossip_item* item : zone.items().of_kind(gossip_kind::server_table)) {
        permits_.on_table(item->name, item->bytes, loop_.time().now());
    }
}

void server_service::on_gossip_item(const gossip_item& item)
{
    if (item.kind == gossip_kind::server_table) {
        permits_.on_table(item.name, item.bytes, loop_.time().now());
        return;
    }
    if (item.kind != gossip_kind::server_versions) {
        return;
    }
    const auto message = decode<server_versions_message>(item.bytes);
    if (!message) {
        return;
    }
    std::vector<engine_version> versions;
    for (const auto& loaded : message->versions) {
        versions.push_back({loaded.model, loaded.version});
    }
    table_.apply_versions(message->server, versions);
}

void server_service::tick()
{
    tick_timer_ = loop_.schedule(tick_interval, [this] { tick(); });
    const steady_time now = loop_.time().now();
    update_permit_view();
    permits_.tick(now);
    for (const server_key key : permits_.owner().take_due_polls(now)) {
        poll(key);
    }
    if (const auto item = permits_.make_table_update(now, loop_.time().wall_now())) {
        members_.members().publish(*item, permits_.is_repeating_table(now));
    }
    refresh_loads();
}

void server_service::poll(server_key key)
{
    const auto id = ids_.find(key);
    const known_server* server = id == ids_.end() ? nullptr : table_.find(id->second);
    if (server == nullptr) {
        return;
    }
    const steady_time polled = loop_.time().now();
    const std::weak_ptr<bool> alive = alive_;
    engine_.poll_load(server->entry.address, [this, alive, key, polled](const outcome<load_report>& report) {
        if (alive.expired()) {
            return;
        }
        if (!report) {
            permits_.owner().on_poll_failed(key, loop_.time().now());
            return;
        }
        on_load_report(key, *report, polled);
    });
}

void server_service::on_load_report(server_key key, const load_report& report, steady_time polled)
{
    permits_.owner().on_report(key, report, polled, loop_.time().now());
    const auto id = ids_.find(key);
    if (id == ids_.end()) {
        return;
    }
    const known_server* server = table_.find(id->second);
    if (server != nullptr && server->versions != report.versions) {
        table_.apply_versions(id->second, report.versions);
        publish_versions(id->second, report.versions);
    }
}

void server_service::publish_versions(const server_id& id, const std::vector<engine_version>& versions)
{
    server_versions_message message{id, {}};
    for (const engine_version& version : versions) {
        message.versions.push_back({version.model, version.version});
    }
    const auto version =
        std::chrono::duration_cast<std::chrono::milliseconds>(loop_.time().wall_now().time_since_epoch());
    members_.members().publish({gossip_kind::server_versions, id.name.value(),
                                static_cast<std::uint64_t>(version.count()), 0, encode(message)},
                               true);
}

/// Sets the load of each server. Servers that this VM owns use its own figures; for the others, the figures sent with a
/// grant are used if they are newer than those of the gossiped table.
void server_service::refresh_loads()
{
    const steady_time now = loop_.time().now();
    for (const auto& [key, id] : ids_) {
        if (const auto own = permits_.owner().status(key)) {
            table_.apply_load(id, {own->limit, own->in_force, own->queued, own->reachable, now});
            continue;
        }
        const auto table_entry = permits_.table().find(key);
        if (!table_entry) {
            continue;
        }
        const server_table_entry& entry = table_entry->entry;
        server_load load{entry.limit, entry.in_force, entry.queued, entry.healthy, table_entry->received};
        if (const auto granted = permits_.holder().load_of(key); granted && granted->at > load.at) {
            load.limit = granted->limit;
            load.running = granted->in_force;
            load.at = granted->at;
        }
        table_.apply_load(id, load);
    }
}

void server_service::send(boot_id to, message_kind kind, std::string payload)
{
    if (to == members_.members().self()) {
        const std::weak_ptr<bool> alive = alive_;
        loop_.post([this, alive, to, kind, payload = std::move(payload)] {
            if (!alive.expired()) {
                permits_.on_message(to, kind, payload, loop_.time().now());
            }
        });
        return;
    }
    if (const auto address = members_.members().address_of(to)) {
        peer_transport_.send(address->value(), kind, std::move(payload));
    }
}

permit_source server_service::source()
{
    permit_source source;
    source.acquire = [this](const server_id& id, bool alone, std::function<void(const outcome<permit>&)> callback) {
        acquire(id, alone, std::move(callback));
    };
    source.release = [this](const permit& used, const permit_result& result) {
        permits_.release(used, result, loop_.time().now());
    };
    return source;
}

void server_service::acquire(const server_id& id, bool alone, std::function<void(const outcome<permit>&)> callback)
{
    const steady_time now = loop_.time().now();
    const server_key key = key_of(id);
    if (!alone) {
        if (const auto held = permits_.try_acquire(key, now)) {
            callback(*held);
            return;
        }
    }
    const auto requested = permits_.request_permit(key, alone, now, callback);
    if (!requested) {
        callback(tl::make_unexpected(requested.error()));
    }
}

} // namespace agatespar
