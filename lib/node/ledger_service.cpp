// Assigns partitions to owners by rendezvous hashing over the zone's members.
#include <agatespar/membership/rendezvous.h>
#include <agatespar/node/ledger_service.h>
#include <agatespar/node/membership_service.h>
#include <agatespar/node/message_router.h>

#include <algorithm>
#include <variant>

namespace agatespar {

// Number of owner candidates that a client tries in turn for one partition.
static constexpr std::size_t owner_candidates = 3;
static constexpr std::chrono::seconds owner_check_interval{10};

static std::uint64_t key_of(ledger_partition partition)
{
    return ownership_key("ledger/" + std::to_string(partition.value()));
}

ledger_service::ledger_service(event_loop& loop, log_service log, transport& peer_transport, message_router& router,
                               membership_service& members, ledger_settings settings)
    : loop_(loop), log_(std::move(log)), peer_transport_(peer_transport), members_(members), settings_(settings),
      client_(loop, members.members().self(), settings,
              [this](ledger_partition partition, unsigned attempt, const ledger_request& request) {
                  send(partition, attempt, request);
              })
{
    router.handle({message_kind::claim_request}, [this](const frame& received) { on_claim_request(received); });
    router.handle({message_kind::claim_verdict}, [this](const frame& received) {
        if (const auto answer = decode<ledger_answer>(received.payload)) {
            client_.on_answer(*answer);
        }
    });
    members_.listen([this](const membership_event& event) {
        if (event.kind != membership_event_kind::item) {
            update_owners();
        }
    });
    check_owners();
}

ledger_service::~ledger_service()
{
    loop_.cancel(timer_);
}

void ledger_service::set_zones(std::size_t count)
{
    const auto interval = append_interval_for(std::max<std::size_t>(count, 1));
    if (interval == settings_.append_interval) {
        return;
    }
    settings_.append_interval = interval;
    drop_idle_owners(true);
    update_owners();
}

/// Removes superfluous owners at regular intervals: a request of a VM whose view of the members differs starts an owner
/// here although the partition is assigned to another VM.
void ledger_service::check_owners()
{
    timer_ = loop_.schedule(owner_check_interval, [this] { check_owners(); });
    update_owners();
}

std::size_t ledger_service::unfinished() const
{
    std::size_t count = client_.unconfirmed();
    for (const auto& [partition, owner] : owners_) {
        count += owner->waiting();
    }
    return count;
}

void ledger_service::update_owners()
{
    const auto owners = members_.members().owners();
    for (std::uint32_t number = 0; number < ledger_partition_count; ++number) {
        const ledger_partition partition{number};
        if (owner_of(key_of(partition), owners) == members_.members().self()) {
            owner_of_partition(partition);
        }
    }
    drop_idle_owners(false);
}

void ledger_service::drop_idle_owners(bool include_own)
{
    const auto owners = members_.members().owners();
    std::erase_if(owners_, [&](const auto& entry) {
        const bool own = owner_of(key_of(entry.first), owners) == members_.members().self();
        return (include_own || !own) && entry.second->waiting() == 0;
    });
}

claim_owner& ledger_service::owner_of_partition(ledger_partition partition)
{
    auto& owner = owners_[partition];
    if (!owner) {
        owner = std::make_unique<claim_owner>(loop_, log_, partition, settings_);
        owner->start();
    }
    return *owner;
}

void ledger_service::send(ledger_partition partition, unsigned attempt, const ledger_request& request)
{
    const auto candidates = owners_of(key_of(partition), members_.members().owners(), owner_candidates);
    const boot_id target = candidates.empty() ? members_.members().self() : candidates[attempt % candidates.size()];
    const auto address = members_.members().address_of(target);
    if (target == members_.members().self() || !address) {
        serve(partition, request, [this](const ledger_answer& answer) { client_.on_answer(answer); });
        return;
    }
    peer_transport_.send(address->value(), message_kind::claim_request, encode(request));
}

void ledger_service::serve(ledger_partition partition, const ledger_request& request, claim_owner::reply_function reply)
{
    owner_of_partition(partition).serve(request, std::move(reply));
}

void ledger_service::on_claim_request(const frame& received)
{
    const auto request = decode<ledger_request>(received.payload);
    if (!request) {
        return;
    }
    const auto record = decode_record(request->record);
    if (!record) {
        return;
    }
    const ledger_key& key = std::visit([](const auto& each) -> const ledger_key& { return each.key; }, *record);
    serve(partition_of(key), *request, [this, address = received.reply_address](const ledger_answer& answer) {
        peer_transport_.send(address, message_kind::claim_verdict, encode(answer));
    });
}

} // namespace agatespar
