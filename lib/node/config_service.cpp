// Runs the configuration reader on the zone's members. Marks, which state the configuration number that a VM has, are
// gossip items; the records themselves are sent in messages.
#include <agatespar/membership/rendezvous.h>
#include <agatespar/node/config_service.h>
#include <agatespar/node/membership_service.h>
#include <agatespar/node/message_router.h>

#include <algorithm>

namespace agatespar {

// Number of VMs of a zone that tail the log: two, so that one may fail without a delay of the configuration.
static constexpr std::size_t tailing_owners = 2;
static constexpr std::chrono::milliseconds mark_interval{500};
// An unchanged mark is published again at this interval, so that the VMs that do not tail the log know that it is still
// being read.
static constexpr std::chrono::seconds mark_refresh{4};
// Time without a mark after which a VM reads the log itself. Longer than one refresh, as gossip needs several probe
// intervals to reach the whole zone.
static constexpr std::chrono::seconds peer_timeout{15};
static constexpr std::string_view config_role = "config";

static config_reader_settings make_settings(boot_id self)
{
    config_reader_settings settings;
    settings.self = self;
    settings.peer_timeout = peer_timeout;
    return settings;
}

config_service::config_service(event_loop& loop, const log_service& log, transport& peer_transport,
                               message_router& router, membership_service& members, std::mt19937_64& random)
    : loop_(loop), peer_transport_(peer_transport), members_(members),
      reader_(loop, make_reader_environment(log), make_settings(members.members().self()), random),
      snapshots_(loop, log, reader_, snapshot_writer_settings{}, random),
      mark_version_(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(loop.time().wall_now().time_since_epoch()).count()))
{
    router.handle({message_kind::config_pull}, [this](const frame& received) {
        if (const auto pull = decode<config_pull>(received.payload)) {
            peer_transport_.send(received.reply_address, message_kind::config_state, encode(reader_.answer(*pull)));
        }
    });
    router.handle({message_kind::config_state}, [this](const frame& received) {
        if (const auto state = decode<config_state>(received.payload)) {
            reader_.handle_state(*state);
        }
    });
    members_.listen([this](const membership_event& event) {
        if (event.kind != membership_event_kind::item) {
            update_tailing();
            return;
        }
        const bool is_mark =
            event.item.kind == gossip_kind::config_head || event.item.kind == gossip_kind::config_contact;
        if (!is_mark) {
            return;
        }
        if (const auto mark = decode<config_mark>(event.item.bytes)) {
            reader_.handle_peer_mark(*mark);
        }
    });
    reader_.start();
    snapshots_.start();
    update_tailing();
    publish_mark();
}

config_service::~config_service()
{
    loop_.cancel(mark_timer_);
}

config_reader_environment config_service::make_reader_environment(log_service log)
{
    config_reader_environment environment;
    environment.log = std::move(log);
    environment.send_pull = [this](boot_id peer, const config_pull& pull) {
        send(peer, message_kind::config_pull, pull);
    };
    environment.announce = [this](const config_state& state) { announce(state); };
    environment.changed = [this](const std::shared_ptr<const configuration>& config) {
        for (const listener& callback : listeners_) {
            callback(config);
        }
        publish_mark();
    };
    return environment;
}

void config_service::update_tailing()
{
    const auto owners = owners_of(ownership_key(config_role), members_.members().owners(), tailing_owners);
    const bool is_tailing = std::find(owners.begin(), owners.end(), members_.members().self()) != owners.end();
    reader_.set_tailing(is_tailing);
}

/// Only the tailing owners publish marks: one item for the zone, regardless of the number of its VMs.
void config_service::publish_mark()
{
    loop_.cancel(mark_timer_);
    mark_timer_ = loop_.schedule(mark_interval, [this] { publish_mark(); });
    const steady_time now = loop_.time().now();
    const bool changed = reader_.mark().number != published_number_;
    if (!reader_.tailing() || !reader_.ready() || (!changed && now < next_refresh_)) {
        return;
    }
    published_number_ = reader_.mark().number;
    next_refresh_ = now + mark_refresh;
    const auto version =
        std::chrono::duration_cast<std::chrono::milliseconds>(loop_.time().wall_now().time_since_epoch());
    mark_version_ = std::max(mark_version_ + 1, static_cast<std::uint64_t>(version.count()));
    // An unchanged mark is published as config_contact, which is not a long-lived kind, since its loss does no harm.
    const gossip_kind kind = changed ? gossip_kind::config_head : gossip_kind::config_contact;
    members_.members().publish({kind, "", mark_version_, 0, encode(reader_.mark())}, changed);
}

/// Only the mark is published; it is urgent, and the other VMs pull the records when they receive it.
void config_service::announce(const config_state& /*state*/)
{
    publish_mark();
}

template <class Message>
void config_service::send(boot_id to, message_kind kind, const Message& message)
{
    if (const auto address = members_.members().address_of(to)) {
        peer_transport_.send(address->value(), kind, encode(message));
    }
}

} // namespace agatespar
