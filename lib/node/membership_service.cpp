// Connects the membership protocol to the event loop and the transport.
#include <agatespar/node/membership_service.h>
#include <agatespar/node/message_router.h>

#include <algorithm>

namespace agatespar {

static constexpr std::chrono::milliseconds tick_interval{100};

static membership_settings make_membership_settings(const zone_id& zone, boot_id self, const transport& peer_transport)
{
    membership_settings settings;
    settings.boot = self;
    settings.address = vm_address{peer_transport.address()};
    // Zones of different fleets may have the same name, so the name qualified by the fleet is used.
    settings.zone = zone_name{to_string(zone)};
    return settings;
}

membership_service::membership_service(event_loop& loop, transport& peer_transport, message_router& router,
                                       const zone_id& zone, boot_id self, std::vector<std::string> seeds)
    : loop_(loop), peer_transport_(peer_transport), seeds_(std::move(seeds)),
      members_(make_membership_settings(zone, self, peer_transport), self.value(), loop.time().now(),
               loop.time().wall_now())
{
    router.handle(
        {message_kind::probe, message_kind::probe_ack, message_kind::probe_request, message_kind::member_leaving},
        [this](const frame& received) {
            apply(members_.on_message(received.kind, received.payload, loop_.time().now()));
        });
    set_listed({});
    timer_ = loop_.schedule(tick_interval, [this] { tick(); });
}

membership_service::~membership_service()
{
    loop_.cancel(timer_);
}

void membership_service::set_listed(std::vector<listed_member> listed)
{
    // The peers from the settings are probed even if the VM list does not contain them.
    for (const std::string& seed : seeds_) {
        const vm_address address{seed};
        const bool known = std::any_of(listed.begin(), listed.end(),
                                       [&](const listed_member& entry) { return entry.address == address; });
        if (!known) {
            listed.push_back({address, false});
        }
    }
    members_.set_listed(std::move(listed));
}

void membership_service::tick()
{
    timer_ = loop_.schedule(tick_interval, [this] { tick(); });
    apply(members_.tick(loop_.time().now()));
}

void membership_service::leave()
{
    apply(members_.leave(loop_.time().now()));
}

void membership_service::apply(const membership_output& output)
{
    for (const outgoing_message& message : output.messages) {
        peer_transport_.send(message.to.value(), message.kind, message.payload);
    }
    for (const membership_event& event : output.events) {
        for (const listener& callback : listeners_) {
            callback(event);
        }
    }
}

} // namespace agatespar
