// Sends probes, evaluates missing answers, and implements the public functions.
#include <agatespar/membership/membership.h>
#include <agatespar/support/hash.h>

#include <algorithm>
#include <utility>

namespace agatespar {

namespace {

// Interval at which addresses of the VM list that belong to no known member are probed.
constexpr std::chrono::milliseconds listed_probe_interval{1000};
constexpr std::size_t listed_probes_at_once = 3;

} // namespace

membership::membership(membership_settings settings, std::uint64_t random_seed, steady_time now, wall_time wall_now)
    : settings_(std::move(settings)), random_(random_seed),
      table_(member_update{settings_.boot, settings_.address, 0, member_state::alive}), wall_start_(wall_now),
      steady_start_(now), last_call_(now), next_exchange_(now), next_listed_probe_(now)
{
    const duration interval{settings_.probe_interval};
    std::uniform_int_distribution<duration::rep> phase(0, interval.count());
    next_probe_ = now + duration{phase(random_)};
}

membership_output membership::tick(steady_time now)
{
    membership_output output;
    detect_pause(now, output);
    check_pending_probe(now, output);
    expire_suspects(now, output);
    if (now >= next_listed_probe_) {
        next_listed_probe_ = now + listed_probe_interval;
        probe_listed(output);
        items_.expire(unix_seconds(now));
        std::erase_if(relays_, [now](const auto& entry) { return entry.second.expires < now; });
    }
    if (now >= next_probe_) {
        next_probe_ += settings_.probe_interval;
        if (next_probe_ <= now) {
            next_probe_ = now + settings_.probe_interval;
        }
        probe_next(now, output);
    }
    if (std::exchange(urgent_, false)) {
        push_urgent(output);
    }
    return output;
}

void membership::set_listed(std::vector<listed_member> listed)
{
    listed_ = std::move(listed);
    std::vector<boot_id> unlisted;
    for (const auto& [boot, entry] : table_.all()) {
        const bool is_listed = std::any_of(listed_.begin(), listed_.end(), [&entry = entry](const listed_member& vm) {
            return vm.address == entry.update.address;
        });
        if (entry.update.state == member_state::dead && !is_listed) {
            unlisted.push_back(boot);
        }
    }
    for (const boot_id boot : unlisted) {
        table_.forget(boot);
    }
}

bool membership::has_majority() const
{
    const auto listed =
        std::count_if(listed_.begin(), listed_.end(), [](const listed_member& vm) { return !vm.leaving; });
    return table_.has_majority() && 2 * table_.live().size() > static_cast<std::size_t>(listed);
}

void membership::announce_leaving(steady_time now)
{
    table_.reassert(table_.self().incarnation, member_state::leaving, now);
    urgent_ = true;
}

membership_output membership::leave(steady_time now)
{
    member_update update = table_.self();
    update.state = member_state::left;
    table_.apply(update, now);
    membership_output output;
    for (const member_update& peer : random_peers(2 * settings_.urgent_fanout, std::nullopt)) {
        send(output, peer.address, message_kind::member_leaving, make_body());
    }
    return output;
}

bool membership::publish(const gossip_item& item, bool urgent)
{
    const bool taken = items_.merge(item, table_.live().size());
    urgent_ = urgent_ || (taken && urgent);
    return taken;
}

void membership::detect_pause(steady_time now, membership_output& output)
{
    const duration gap = now - last_call_;
    last_call_ = now;
    if (gap < settings_.pause_threshold) {
        return;
    }
    // No message could be received during the pause, so a missing answer says nothing about the other members.
    pending_.reset();
    relays_.clear();
    table_.extend_suspicions(gap);
    table_.reassert(table_.self().incarnation,
                    table_.find(settings_.boot)->leaving ? member_state::leaving : member_state::alive, now);
    urgent_ = true;
    output.events.push_back({membership_event_kind::resumed, table_.self(), {}});
}

void membership::probe_next(steady_time now, membership_output& output)
{
    const std::optional<member_update> target = next_target();
    if (!target) {
        return;
    }
    pending_ = pending_probe{++last_sequence_, target->boot, now, false};
    ++counters_.probes;
    send_probe(output, target->address, last_sequence_);
}

void membership::check_pending_probe(steady_time now, membership_output& output)
{
    if (!pending_) {
        return;
    }
    const member_entry* target = table_.find(pending_->target);
    if (target == nullptr || target->update.state >= member_state::dead) {
        pending_.reset();
        return;
    }
    if (!pending_->relayed && now - pending_->sent >= settings_.direct_timeout) {
        pending_->relayed = true;
        ++counters_.indirect_probes;
        for (const member_update& peer : random_peers(settings_.relays, pending_->target)) {
            send(output, peer.address, message_kind::probe_request,
                 probe_request_message{pending_->sequence, pending_->target, target->update.address, make_body()});
        }
    }
    if (now - pending_->sent < settings_.probe_interval) {
        return;
    }
    if (target->update.state != member_state::suspect) {
        member_update suspicion = target->update;
        suspicion.state = member_state::suspect;
        record(suspicion, now, output);
    }
    pending_.reset();
}

void membership::expire_suspects(steady_time now, membership_output& output)
{
    std::vector<member_update> expired;
    std::vector<boot_id> forgotten;
    for (const auto& [boot, entry] : table_.all()) {
        const duration age = now - entry.since;
        if (entry.update.state == member_state::suspect && age >= settings_.suspicion_timeout) {
            expired.push_back(entry.update);
        }
        if (entry.update.state >= member_state::dead && age >= settings_.forget_dead_after) {
            forgotten.push_back(boot);
        }
    }
    for (member_update& update : expired) {
        update.state = member_state::dead;
        record(update, now, output);
    }
    for (const boot_id boot : forgotten) {
        table_.forget(boot);
    }
}

void membership::probe_listed(membership_output& output)
{
    // On average `listed_probes_at_once` members of the zone probe the listed addresses at a time, whatever its size.
    const double share = static_cast<double>(listed_probes_at_once) / static_cast<double>(table_.live().size());
    if (std::uniform_real_distribution<>{}(random_) > share) {
        return;
    }
    std::vector<vm_address> unknown;
    for (const listed_member& vm : listed_) {
        if (!vm.leaving && vm.address != settings_.address && table_.at_address(vm.address) == nullptr) {
            unknown.push_back(vm.address);
        }
    }
    std::shuffle(unknown.begin(), unknown.end(), random_);
    unknown.resize(std::min(unknown.size(), listed_probes_at_once));
    for (const vm_address& address : unknown) {
        // The answer makes the member known; it matches no pending probe. No gossip is attached, as it would be lost if
        // there is no VM at the address.
        send(output, address, message_kind::probe,
             probe_message{++last_sequence_, {settings_.zone, table_.self(), digest(), {}, {}}});
    }
}

void membership::push_urgent(membership_output& output)
{
    for (const member_update& peer : random_peers(settings_.urgent_fanout, std::nullopt)) {
        send_probe(output, peer.address, 0);
    }
}

std::optional<member_update> membership::next_target()
{
    // Each round probes all members in a new random order, which bounds the time until a death is detected.
    for (int round = 0; round < 2; ++round) {
        while (!probe_order_.empty()) {
            const member_entry* entry = table_.find(probe_order_.back());
            probe_order_.pop_back();
            if (entry != nullptr && entry->update.state <= member_state::suspect) {
                return entry->update;
            }
        }
        const auto live = table_.live();
        probe_order_.assign(live.begin(), live.end());
        std::erase(probe_order_, settings_.boot);
        std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    return std::nullopt;
}

std::vector<member_update> membership::random_peers(std::size_t count, std::optional<boot_id> except)
{
    std::vector<boot_id> peers;
    for (const boot_id boot : table_.live()) {
        if (boot != settings_.boot && boot != except) {
            peers.push_back(boot);
        }
    }
    std::vector<member_update> chosen;
    while (chosen.size() < count && !peers.empty()) {
        std::uniform_int_distribution<std::size_t> pick(0, peers.size() - 1);
        std::swap(peers[pick(random_)], peers.back());
        chosen.push_back(table_.find(peers.back())->update);
        peers.pop_back();
    }
    return chosen;
}

gossip_body membership::make_body()
{
    return gossip_body{settings_.zone, table_.self(), digest(), table_.take_updates(settings_.max_updates_per_message),
                       items_.take_outgoing(settings_.max_item_bytes_per_message)};
}

void membership::send_probe(membership_output& output, const vm_address& to, std::uint32_t sequence)
{
    send(output, to, message_kind::probe, probe_message{sequence, make_body()});
}

std::uint64_t membership::digest() const
{
    return combine_hashes(table_.digest(), items_.digest());
}

std::uint32_t membership::unix_seconds(steady_time now) const
{
    const auto since_epoch = wall_start_.time_since_epoch() + (now - steady_start_);
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count());
}

} // namespace agatespar
