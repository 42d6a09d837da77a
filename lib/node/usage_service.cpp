// Chooses other live VMs of the zone as holders of copies of usage records, and runs the roll-up of usage totals while
// this VM owns that role.
#include <agatespar/membership/rendezvous.h>
#include <agatespar/node/membership_service.h>
#include <agatespar/node/message_router.h>
#include <agatespar/node/usage_service.h>

#include <algorithm>

namespace agatespar {

usage_service::usage_service(event_loop& loop, const log_service& log, transport& peer_transport,
                             message_router& router, membership_service& members, std::mt19937_64& random)
    : loop_(loop), peer_transport_(peer_transport), members_(members), random_(random),
      outbox_(loop, log, members.members().self(), usage_settings{}, make_peers()),
      rollup_(loop, log, usage_rollup_settings{})
{
    router.handle({message_kind::usage_hold}, [this](const frame& received) {
        if (const auto message = decode<usage_hold>(received.payload)) {
            outbox_.on_hold(received.sender, *message);
        }
    });
    router.handle({message_kind::usage_held}, [this](const frame& received) {
        if (const auto message = decode<usage_held>(received.payload)) {
            outbox_.on_held(received.sender, *message);
        }
    });
    router.handle({message_kind::usage_release}, [this](const frame& received) {
        if (const auto message = decode<usage_release>(received.payload)) {
            outbox_.on_release(received.sender, *message);
        }
    });
    members_.listen([this](const membership_event& event) {
        const bool gone = event.kind == membership_event_kind::died || event.kind == membership_event_kind::left;
        if (gone) {
            outbox_.on_member_gone(event.member.boot);
        }
        if (event.kind != membership_event_kind::item) {
            update_rollup();
        }
    });
    update_rollup();
}

usage_account usage_service::account()
{
    usage_account account;
    account.reserve = [this] { return outbox_.reserve(); };
    account.unreserve = [this] { outbox_.unreserve(); };
    account.settle = [this](usage_record record, std::function<void()> may_finish) {
        outbox_.settle(std::move(record), std::move(may_finish));
    };
    return account;
}

usage_peers usage_service::make_peers()
{
    usage_peers peers;
    peers.choose_holder = [this](const std::vector<boot_id>& tried) { return choose_holder(tried); };
    peers.send_hold = [this](boot_id to, const usage_hold& message) { send(to, message_kind::usage_hold, message); };
    peers.send_held = [this](boot_id to, const usage_held& message) { send(to, message_kind::usage_held, message); };
    peers.send_release = [this](boot_id to, const usage_release& message) {
        send(to, message_kind::usage_release, message);
    };
    return peers;
}

std::optional<boot_id> usage_service::choose_holder(const std::vector<boot_id>& tried)
{
    std::vector<boot_id> candidates;
    for (const boot_id member : members_.members().owners()) {
        const bool usable =
            member != members_.members().self() && std::find(tried.begin(), tried.end(), member) == tried.end();
        if (usable) {
            candidates.push_back(member);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any{0, candidates.size() - 1};
    return candidates[any(random_)];
}

template <class Message>
void usage_service::send(boot_id to, message_kind kind, const Message& message)
{
    if (const auto address = members_.members().address_of(to)) {
        peer_transport_.send(address->value(), kind, encode(message));
    }
}

void usage_service::update_rollup()
{
    const auto owner = owner_of(ownership_key("usage-rollup"), members_.members().owners());
    const bool owns = owner == members_.members().self();
    if (owns == owns_rollup_) {
        return;
    }
    owns_rollup_ = owns;
    if (owns) {
        rollup_.start();
        return;
    }
    rollup_.stop();
}

} // namespace agatespar
