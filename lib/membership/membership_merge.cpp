// Handles the messages of other members and merges their gossip.
#include <agatespar/membership/membership.h>

#include <algorithm>
#include <utility>

namespace agatespar {

namespace {

constexpr std::size_t max_relays = 64;
// How long the answer to a relayed probe is waited for.
constexpr std::chrono::milliseconds relay_lifetime{1000};
// Maximum number of members in each message of an exchange of the full state.
constexpr std::size_t members_per_exchange_message = 32;

} // namespace

membership_output membership::on_message(message_kind kind, std::string_view payload, steady_time now)
{
    membership_output output;
    detect_pause(now, output);
    const auto take = [&](const auto& message, const gossip_body& body, auto handle) {
        if (body.zone != settings_.zone) {
            ++counters_.foreign_zone;
            return;
        }
        merge(body, now, output);
        handle(message);
    };
    if (kind == message_kind::probe) {
        if (const auto probe = decode<probe_message>(payload)) {
            take(*probe, probe->body, [&](const auto& message) { on_probe(message, now, output); });
            return output;
        }
    }
    if (kind == message_kind::probe_ack) {
        if (const auto ack = decode<probe_ack_message>(payload)) {
            take(*ack, ack->body, [&](const auto& message) { on_ack(message, now, output); });
            return output;
        }
    }
    if (kind == message_kind::probe_request) {
        if (const auto request = decode<probe_request_message>(payload)) {
            take(*request, request->body, [&](const auto& message) { on_probe_request(message, now, output); });
            return output;
        }
    }
    if (kind == message_kind::member_leaving) {
        if (const auto body = decode<gossip_body>(payload)) {
            take(*body, *body, [](const auto&) {});
            return output;
        }
    }
    ++counters_.undecodable;
    return output;
}

void membership::on_probe(const probe_message& probe, steady_time now, membership_output& output)
{
    if (probe.sequence != 0) {
        send(output, probe.body.sender.address, message_kind::probe_ack,
             probe_ack_message{probe.sequence, settings_.boot, make_body()});
    }
    // Gossip that was sent without a probe (sequence zero) may still be in flight to other members, so that their
    // digests differ for a short time. Therefore only the digest of a probe with a sequence starts an exchange.
    if (probe.sequence != 0 && probe.body.digest != digest() && now >= next_exchange_) {
        next_exchange_ = now + settings_.exchange_interval;
        send_full_state(probe.body.sender.address, output);
    }
}

void membership::on_ack(const probe_ack_message& ack, steady_time now, membership_output& output)
{
    if (pending_ && pending_->sequence == ack.sequence && pending_->target == ack.subject) {
        pending_.reset();
    }
    const auto relayed = relays_.find(ack.sequence);
    if (relayed != relays_.end() && relayed->second.target == ack.subject) {
        send(output, relayed->second.requester, message_kind::probe_ack,
             probe_ack_message{relayed->second.sequence, ack.subject, make_body()});
        relays_.erase(relayed);
    }
    if (ack.body.digest != digest() && now >= next_exchange_) {
        next_exchange_ = now + settings_.exchange_interval;
        send_full_state(ack.body.sender.address, output);
    }
}

void membership::on_probe_request(const probe_request_message& request, steady_time now, membership_output& output)
{
    if (relays_.size() >= max_relays) {
        return;
    }
    const std::uint32_t sequence = ++last_sequence_;
    relays_[sequence] = relay{request.body.sender.address, request.sequence, request.target, now + relay_lifetime};
    send_probe(output, request.target_address, sequence);
}

void membership::merge(const gossip_body& body, steady_time now, membership_output& output)
{
    const bool is_new_member = table_.find(body.sender.boot) == nullptr && body.sender.state <= member_state::leaving;
    mark_replaced_member(body.sender, now, output);
    merge_update(body.sender, now, output);
    answer_stale_sender(body, output);
    // A new member is sent the full state at once, unless this VM has only just started itself.
    if (is_new_member && now - steady_start_ > settings_.exchange_interval) {
        send_full_state(body.sender.address, output);
    }
    for (const member_update& update : body.updates) {
        merge_update(update, now, output);
    }
    for (const gossip_item& item : body.items) {
        if (item.expires != 0 && item.expires < unix_seconds(now)) {
            continue;
        }
        if (items_.merge(item, table_.live().size())) {
            urgent_ = urgent_ || is_long_lived(item.kind);
            output.events.push_back({membership_event_kind::item, body.sender, item});
        }
    }
}

void membership::merge_update(const member_update& update, steady_time now, membership_output& output)
{
    if (update.boot == settings_.boot) {
        refute(update, output);
        return;
    }
    record(update, now, output);
}

void membership::refute(const member_update& received, membership_output& output)
{
    const member_entry& own = *table_.find(settings_.boot);
    if (received.state <= member_state::leaving || received.incarnation < own.update.incarnation ||
        own.update.state == member_state::left) {
        return;
    }
    ++counters_.refutations;
    table_.reassert(received.incarnation, own.leaving ? member_state::leaving : member_state::alive, last_call_);
    urgent_ = true;
    if (received.state == member_state::dead) {
        output.events.push_back({membership_event_kind::presumed_dead, table_.self(), {}});
    }
}

void membership::mark_replaced_member(const member_update& sender, steady_time now, membership_output& output)
{
    // Only one process can use an address, and the message shows that it is the sender. Any other member at this
    // address has been replaced.
    const member_entry* holder = table_.at_address(sender.address);
    if (holder == nullptr || holder->update.boot == sender.boot || holder->update.boot == settings_.boot) {
        return;
    }
    member_update replaced = holder->update;
    replaced.state = member_state::dead;
    record(replaced, now, output);
}

void membership::answer_stale_sender(const gossip_body& body, membership_output& output)
{
    // A sender that is considered suspect or dead is notified, as it could not refute this otherwise.
    const member_entry* entry = table_.find(body.sender.boot);
    if (entry != nullptr && entry->update.state >= member_state::suspect &&
        body.sender.state <= member_state::leaving) {
        table_.resend_update(body.sender.boot);
        gossip_body notice = make_body();
        notice.updates.push_back(entry->update);
        send(output, body.sender.address, message_kind::probe, probe_message{0, std::move(notice)});
    }
}

void membership::send_full_state(const vm_address& to, membership_output& output)
{
    ++counters_.exchanges;
    std::vector<member_update> updates;
    for (const auto& [boot, entry] : table_.all()) {
        updates.push_back(entry.update);
    }
    std::vector<gossip_item> long_lived = items_.long_lived();
    while (!updates.empty() || !long_lived.empty()) {
        gossip_body body{settings_.zone, table_.self(), digest(), {}, {}};
        while (!updates.empty() && body.updates.size() < members_per_exchange_message) {
            body.updates.push_back(std::move(updates.back()));
            updates.pop_back();
        }
        std::size_t used = 0;
        while (!long_lived.empty() && used < settings_.max_item_bytes_per_message) {
            used += long_lived.back().bytes.size() + long_lived.back().name.size();
            body.items.push_back(std::move(long_lived.back()));
            long_lived.pop_back();
        }
        send(output, to, message_kind::probe, probe_message{0, std::move(body)});
    }
}

void membership::record(member_update update, steady_time now, membership_output& output)
{
    const member_entry* current = table_.find(update.boot);
    const bool known = current != nullptr;
    const member_state before = known ? current->update.state : member_state::dead;
    if (!known && update.state >= member_state::dead) {
        // The death of an unknown member is ignored. Otherwise VMs that have forgotten a dead member would receive it
        // again from those that have not, and it would circulate forever.
        return;
    }
    if (!table_.apply(update, now)) {
        return;
    }
    urgent_ = true;
    membership_event_kind kind = membership_event_kind::joined;
    switch (update.state) {
    case member_state::alive:
        if (known && before == member_state::alive) {
            return;
        }
        kind = before == member_state::suspect ? membership_event_kind::refuted : membership_event_kind::joined;
        break;
    case member_state::leaving:
        kind = membership_event_kind::leaving;
        break;
    case member_state::suspect:
        ++counters_.suspicions;
        kind = membership_event_kind::suspected;
        break;
    case member_state::dead:
        ++counters_.deaths;
        kind = membership_event_kind::died;
        break;
    case member_state::left:
        kind = membership_event_kind::left;
        break;
    }
    output.events.push_back({kind, std::move(update), {}});
}

} // namespace agatespar
