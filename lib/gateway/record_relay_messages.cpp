// Pulls updates from other VMs, and sends updates to the VMs that pull from this one.
#include <agatespar/gateway/record_relay.h>
#include <agatespar/support/hash.h>
#include <agatespar/telemetry/log.h>
#include <agatespar/wire/compression.h>

#include <algorithm>
#include <utility>

namespace agatespar {

// Limits what a message may decompress to.
static constexpr std::size_t max_unpacked_bytes = std::size_t{16} << 20U;

/// @return the era that a message states, or the one to compare with if it was sent by a VM of an earlier version,
/// which states none.
static store_era stated_era(std::uint64_t stated, store_era own)
{
    return stated == 0 ? own : store_era{stated};
}

/// @return a pull request for all records that this VM lacks.
records_pull record_relay::make_pull() const
{
    records_pull pull;
    for (const topic_follower* known : followers_) {
        pull.era = std::max(pull.era, known->era().value());
    }
    for (std::size_t topic = 0; topic < fleet_topic_count; ++topic) {
        const topic_follower& known = *followers_[topic];
        const bool is_of_era = known.era() == store_era{pull.era} || known.era() == store_era{};
        pull.positions.push_back({static_cast<std::uint8_t>(topic), known.is_gap_free() && is_of_era, known.end()});
    }
    pull.start = static_cast<std::uint64_t>(started_.time_since_epoch().count());
    return pull;
}

void record_relay::pull_from_upstreams()
{
    const steady_time now = loop_.time().now();
    last_pull_at_ = now;
    if (upstreams_.empty()) {
        return;
    }
    records_pull pull = make_pull();
    pull.wants_push = true;
    pull.rows = rows_to_forward();
    std::erase_if(pending_rows_, [](const auto& entry) { return !entry.second.is_own && entry.second.is_unwritten(); });
    for (upstream& from : upstreams_) {
        from.requested = true;
        pull.no_recent_answer = now - from.received_at.value_or(from.since) > settings_.pull_interval;
        link_->send(from.vm.address, message_kind::records_pull, encode(pull));
        // The second upstream is a standby: only the first one pushes updates and sends snapshots.
        pull.wants_push = false;
        std::erase_if(pull.positions, [](const topic_position& position) { return !position.gap_free; });
        pull.rows.clear();
    }
}

const listed_vm* record_relay::choose_helper() const
{
    const steady_time now = loop_.time().now();
    const bool waits = first_upstream_at_ && now - *first_upstream_at_ >= settings_.helper_pull_interval &&
                       now - update_received_at_ >= settings_.helper_pull_interval &&
                       now - helper_pulled_at_ >= settings_.helper_pull_interval;
    if (!link_ || is_reader_ || has_all_topics() || !waits || vms_.empty()) {
        return nullptr;
    }
    // Draws a different VM each time, and a different sequence for each drawing VM.
    const std::uint64_t drawn =
        combine_hashes(stable_hash(settings_.self.name), static_cast<std::uint64_t>(now.time_since_epoch().count()));
    const listed_vm& vm = std::next(vms_.begin(), static_cast<std::ptrdiff_t>(drawn % vms_.size()))->second;
    return vm.name == settings_.self.name ? nullptr : &vm;
}

void record_relay::pull_from_helper()
{
    if (has_all_topics()) {
        helpers_.clear();
    }
    const listed_vm* helper = choose_helper();
    if (helper == nullptr) {
        return;
    }
    helper_pulled_at_ = loop_.time().now();
    helpers_.insert(helper->address);
    link_->send(helper->address, message_kind::records_pull, encode(make_pull()));
}

void record_relay::receive(const std::string& from, message_kind kind, std::string_view payload)
{
    if (kind == message_kind::records_pull) {
        if (auto pull = decode<records_pull>(payload)) {
            handle_pull(from, std::move(*pull));
            return;
        }
    }
    else if (kind == message_kind::relay_status) {
        if (const auto status = decode<relay_status>(payload)) {
            handle_status(from, *status);
            return;
        }
    }
    else if (kind == message_kind::records_packed) {
        const auto plain = decompress(payload, max_unpacked_bytes);
        if (const auto topic = plain ? decode<topic_update>(*plain) : tl::make_unexpected(plain.error())) {
            handle_topic_update(from, *topic);
            return;
        }
    }
    else if (kind == message_kind::records_part) {
        const auto plain = decompress(payload, max_unpacked_bytes);
        if (auto part = plain ? decode<snapshot_part>(*plain) : tl::make_unexpected(plain.error())) {
            handle_snapshot_part(from, std::move(*part));
            return;
        }
    }
    else if (kind == message_kind::records_topic) {
        if (const auto topic = decode<topic_update>(payload)) {
            handle_topic_update(from, *topic);
            return;
        }
    }
    log_event(log_severity::warning, "peer_message_unreadable", {{"from", from}, {"kind", static_cast<int>(kind)}});
}

void record_relay::handle_pull(const std::string& from, records_pull pull)
{
    if (pull.no_recent_answer) {
        link_->forget(from);
    }
    subscriber& peer = subscribers_[from];
    if (peer.known.start != pull.start) {
        peer = {};
    }
    for (const row_to_write& row : pull.rows) {
        queue_forwarded_row(row);
    }
    release_confirmed(peer, pull);
    peer.known = std::move(pull);
    peer.pulled_at = loop_.time().now();
    push_updates(from, peer, true);
}

/// Releases updates in flight that a pull request confirms or that are regarded as lost.
void record_relay::release_confirmed(subscriber& peer, const records_pull& pull)
{
    const steady_time now = loop_.time().now();
    bool snapshot_finished = false;
    for (const topic_position& position : pull.positions) {
        if (position.topic >= fleet_topic_count) {
            continue;
        }
        in_flight_update& sent = peer.sent[position.topic];
        if (!sent.since) {
            continue;
        }
        const bool arrived = position.gap_free && std::tie(pull.era, position.end) >= std::tie(sent.era, sent.end);
        if (arrived || now - *sent.since >= settings_.resend_timeout) {
            snapshot_finished = snapshot_finished || sent.is_snapshot;
            sent = {};
        }
    }
    if (snapshot_finished) {
        // Other subscribers may wait for a snapshot because `max_snapshots_in_flight` were in flight.
        schedule_push();
    }
}

void record_relay::remove_expired_subscribers()
{
    const steady_time now = loop_.time().now();
    std::erase_if(subscribers_,
                  [&](const auto& entry) { return now - entry.second.pulled_at > settings_.subscriber_lifetime; });
    if (snapshots_in_flight() == 0) {
        // Frees the memory of the encoded updates. They are encoded again for the next VM that starts.
        snapshots_ = {};
        changes_ = {};
    }
}

bool record_relay::has_all_topics() const
{
    return std::all_of(followers_.begin(), followers_.end(),
                       [](const topic_follower* each) { return each->is_gap_free(); });
}

bool record_relay::has_direct_store_contact() const
{
    const topic_follower& orders = follower(fleet_topic::operator_orders);
    return reads_store_ && orders.is_reachable() &&
           loop_.time().now() - orders.last_answer_at() <= settings_.reader_store_timeout;
}

std::optional<steady_time> record_relay::last_store_contact_at() const
{
    const steady_time answered = follower(fleet_topic::operator_orders).last_answer_at();
    if (answered == steady_time{}) {
        return relayed_contact_at_;
    }
    return std::max(answered, relayed_contact_at_.value_or(answered));
}

std::chrono::milliseconds record_relay::store_contact_age() const
{
    const auto last_contact = last_store_contact_at();
    return last_contact ? std::chrono::duration_cast<std::chrono::milliseconds>(loop_.time().now() - *last_contact)
                        : std::chrono::milliseconds::max();
}

bool record_relay::has_store_contact() const
{
    return has_all_topics() && store_contact_age() <= settings_.store_contact_timeout;
}

relay_status record_relay::own_status() const
{
    relay_status status;
    status.has_store_contact = has_store_contact();
    status.store_age_ms = static_cast<std::uint64_t>(store_contact_age().count());
    const steady_time now = loop_.time().now();
    status.lost_store = is_reader_ && !has_direct_store_contact() && reading_since_ &&
                        now - *reading_since_ > settings_.reader_resign_timeout &&
                        now - follower(fleet_topic::operator_orders).last_answer_at() > settings_.reader_resign_timeout;
    return status;
}

std::size_t record_relay::snapshots_in_flight() const
{
    std::size_t snapshot_count = 0;
    for (const auto& [address, peer] : subscribers_) {
        snapshot_count += static_cast<std::size_t>(
            std::count_if(peer.sent.begin(), peer.sent.end(),
                          [](const in_flight_update& sent) { return sent.is_snapshot && sent.since.has_value(); }));
    }
    return snapshot_count;
}

/// Sends the records of each topic that a subscriber lacks, unless they are in flight already.
/// @param with_status also sends the status of this VM.
void record_relay::push_updates(const std::string& address, subscriber& peer, bool with_status)
{
    if (with_status) {
        // The status goes first: after an outage, the receiver has to know that the store is reachable again before it
        // evaluates the records that changed meanwhile.
        link_->send(address, message_kind::relay_status, encode(own_status()));
    }
    for (const topic_position& requested : peer.known.positions) {
        if (requested.topic >= fleet_topic_count) {
            continue;
        }
        const topic_follower& known = *followers_[requested.topic];
        const std::uint64_t era = known.era().value();
        const std::uint64_t peer_era = stated_era(peer.known.era, known.era()).value();
        if (!known.is_gap_free() || era < peer_era) {
            continue;
        }
        in_flight_update& sent = peer.sent[requested.topic];
        topic_position position = requested;
        position.gap_free = requested.gap_free && peer_era == era;
        if (sent.since && sent.era == era) {
            position = {requested.topic, true, sent.end};
        }
        if (position.gap_free && position.end >= known.end()) {
            continue;
        }
        const bool is_snapshot = pack_update(position);
        if (is_snapshot && snapshots_in_flight() >= settings_.max_snapshots_in_flight) {
            continue;
        }
        const packed_update& packed = (is_snapshot ? snapshots_ : changes_)[requested.topic];
        if (send_frames(address, packed)) {
            sent = {packed.era, packed.end, is_snapshot || sent.is_snapshot, sent.since.value_or(loop_.time().now())};
        }
    }
}

void record_relay::schedule_push()
{
    if (subscribers_.empty() || push_timer_) {
        return;
    }
    push_timer_ = loop_.schedule(settings_.batch_delay, [this] {
        push_timer_.reset();
        push_to_subscribers(claim_status_push());
    });
}

void record_relay::push_to_subscribers(bool with_status)
{
    for (auto& [address, peer] : subscribers_) {
        if (peer.known.wants_push) {
            push_updates(address, peer, with_status);
        }
    }
}

/// @return whether a status is due to the subscribers. If so, the caller must send it, as it is recorded as sent.
bool record_relay::claim_status_push()
{
    const auto last_contact = last_store_contact_at();
    if (!has_store_contact() ||
        (reported_contact_at_ && *last_contact - *reported_contact_at_ < settings_.status_push_interval)) {
        return false;
    }
    reported_contact_at_ = last_contact;
    return true;
}

/// Pushes the time of the last contact with the store to the subscribers, so that it is equally recent at any depth of
/// the tree.
void record_relay::push_status_if_due()
{
    if (claim_status_push()) {
        push_to_subscribers(true);
    }
}

void record_relay::apply(const topic_update& topic)
{
    if (topic.topic >= fleet_topic_count) {
        return;
    }
    std::vector<keyed_record> records;
    records.reserve(topic.records.size());
    for (const relayed_record& record : topic.records) {
        records.push_back({record.key, record.deleted ? std::nullopt : std::optional{record.value}, record.offset});
    }
    topic_follower& target = *followers_[topic.topic];
    const store_era era = stated_era(topic.era, target.era());
    if (!topic.newest) {
        target.apply_changes(era, topic.from, topic.end, records);
        return;
    }
    const bool had_gap = !target.is_gap_free() || era > target.era();
    target.apply_newest(era, topic.end, records);
    if (had_gap) {
        // Confirms the snapshot at once, so that its sender can serve the next VM.
        pull_from_upstreams();
    }
}

record_relay::upstream* record_relay::upstream_at(const std::string& address)
{
    const auto known = std::find_if(upstreams_.begin(), upstreams_.end(),
                                    [&address](const upstream& each) { return each.vm.address == address; });
    return known == upstreams_.end() ? nullptr : &*known;
}

bool record_relay::is_expected_sender(const std::string& address)
{
    return helpers_.contains(address) || upstream_at(address) != nullptr;
}

void record_relay::handle_topic_update(const std::string& from, const topic_update& topic)
{
    if (!is_expected_sender(from)) {
        return;
    }
    update_received_at_ = loop_.time().now();
    if (upstream* known = upstream_at(from)) {
        known->received_at = upstream_received_at_ = update_received_at_;
    }
    apply(topic);
}

void record_relay::handle_status(const std::string& from, const relay_status& status)
{
    if (!is_expected_sender(from)) {
        return;
    }
    const steady_time now = loop_.time().now();
    if (upstream* known = upstream_at(from)) {
        known->received_at = upstream_received_at_ = now;
        known->has_store_contact = status.has_store_contact;
        known->lost_store = status.lost_store;
    }
    if (!status.has_store_contact) {
        return;
    }
    const steady_time last_contact = now - std::chrono::milliseconds{status.store_age_ms};
    relayed_contact_at_ = std::max(last_contact, relayed_contact_at_.value_or(last_contact));
    for (topic_follower* each : followers_) {
        each->on_upstream_contact(*relayed_contact_at_);
    }
    push_status_if_due();
}

} // namespace agatespar
