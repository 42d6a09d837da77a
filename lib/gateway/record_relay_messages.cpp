// Asks other VMs for news, and answers those who ask this one.
#include <agatespar/gateway/record_relay.h>
#include <agatespar/support/hash.h>
#include <agatespar/telemetry/log.h>
#include <agatespar/wire/compression.h>

#include <algorithm>

namespace agatespar {

// News of this size and more are compressed: below it, the frame around them weighs as much.
static constexpr std::size_t least_packed_bytes = 1024;
// A frame takes at most two megabytes; a list of the largest fleets has one.
static constexpr std::size_t most_unpacked_bytes = std::size_t{16} << 20U;

/// @return a question for all that this VM lacks.
records_pull record_relay::make_pull() const
{
    records_pull pull;
    for (std::size_t topic = 0; topic < fleet_topics; ++topic) {
        pull.positions.push_back(
            {static_cast<std::uint8_t>(topic), followers_[topic]->is_whole(), followers_[topic]->end()});
    }
    pull.start = static_cast<std::uint64_t>(started_.time_since_epoch().count());
    return pull;
}

void record_relay::ask_sources()
{
    const steady_time now = loop_.time().now();
    asked_sources_at_ = now;
    if (sources_.empty()) {
        return;
    }
    records_pull pull = make_pull();
    pull.follows = true;
    pull.rows = rows_to_pass_on();
    std::erase_if(rows_, [](const auto& entry) { return !entry.second.is_own && entry.second.is_unwritten(); });
    for (source& from : sources_) {
        from.asked = true;
        pull.unheard = now - from.heard_at.value_or(from.since) > settings_.pull_interval;
        link_->send(from.vm.address, message_kind::records_pull, encode(pull));
        // The second one only stands by: what it would send at once, and whole lists, come from the first.
        pull.follows = false;
        std::erase_if(pull.positions, [](const topic_position& position) { return !position.whole; });
        pull.rows.clear();
    }
}

const listed_vm* record_relay::choose_helper() const
{
    const steady_time now = loop_.time().now();
    const bool waits = first_asked_at_ && now - *first_asked_at_ >= settings_.help_time &&
                       now - told_at_ >= settings_.help_time && now - help_asked_at_ >= settings_.help_time;
    if (!link_ || is_reader_ || knows_all() || !waits || vms_.empty()) {
        return nullptr;
    }
    // Another one each time, and others for each VM.
    const std::uint64_t drawn =
        combine_hashes(stable_hash(settings_.self.name), static_cast<std::uint64_t>(now.time_since_epoch().count()));
    const listed_vm& vm = std::next(vms_.begin(), static_cast<std::ptrdiff_t>(drawn % vms_.size()))->second;
    return vm.name == settings_.self.name ? nullptr : &vm;
}

void record_relay::ask_helper()
{
    if (knows_all()) {
        helpers_.clear();
    }
    const listed_vm* helper = choose_helper();
    if (helper == nullptr) {
        return;
    }
    help_asked_at_ = loop_.time().now();
    helpers_.insert(helper->address);
    link_->send(helper->address, message_kind::records_pull, encode(make_pull()));
}

void record_relay::receive(const std::string& from, message_kind kind, std::string_view payload)
{
    if (kind == message_kind::records_pull) {
        if (auto pull = decode<records_pull>(payload)) {
            take_pull(from, std::move(*pull));
            return;
        }
    }
    else if (kind == message_kind::relay_status) {
        if (const auto status = decode<relay_status>(payload)) {
            take_status(from, *status);
            return;
        }
    }
    else if (kind == message_kind::records_packed) {
        const auto plain = decompress(payload, most_unpacked_bytes);
        if (const auto topic = plain ? decode<topic_news>(*plain) : tl::make_unexpected(plain.error())) {
            take_topic(from, *topic);
            return;
        }
    }
    else if (kind == message_kind::records_topic) {
        if (const auto topic = decode<topic_news>(payload)) {
            take_topic(from, *topic);
            return;
        }
    }
    log_event(log_severity::warning, "peer_message_unreadable", {{"from", from}, {"kind", static_cast<int>(kind)}});
}

void record_relay::take_pull(const std::string& from, records_pull pull)
{
    if (pull.unheard) {
        link_->forget(from);
    }
    asker& who = askers_[from];
    if (who.known.start != pull.start) {
        who = {};
    }
    for (const row_to_write& row : pull.rows) {
        gather_row(row);
    }
    note_confirmed(who, pull);
    who.known = std::move(pull);
    who.asked_at = loop_.time().now();
    tell(from, who, true);
}

/// Compares what was sent to an asker with what it has now.
void record_relay::note_confirmed(asker& who, const records_pull& pull)
{
    const steady_time now = loop_.time().now();
    bool list_arrived = false;
    for (const topic_position& position : pull.positions) {
        if (position.topic >= fleet_topics) {
            continue;
        }
        under_way& sent = who.sent[position.topic];
        if (!sent.since) {
            continue;
        }
        const bool arrived = position.whole && position.end >= sent.end;
        if (arrived || now - *sent.since >= settings_.resend_time) {
            list_arrived = list_arrived || sent.is_list;
            sent = {};
        }
    }
    if (list_arrived) {
        // Others may wait for their turn.
        note_change();
    }
}

void record_relay::forget_old_askers()
{
    const steady_time now = loop_.time().now();
    std::erase_if(askers_, [&](const auto& entry) { return now - entry.second.asked_at > settings_.asker_time; });
    if (lists_under_way() == 0) {
        // They are made again for the next VM that starts.
        lists_ = {};
        changes_ = {};
    }
}

bool record_relay::knows_all() const
{
    return std::all_of(followers_.begin(), followers_.end(),
                       [](const topic_follower* each) { return each->is_whole(); });
}

bool record_relay::reads_fresh() const
{
    const topic_follower& orders = follower(fleet_topic::operator_orders);
    return reads_store_ && orders.is_reachable() && loop_.time().now() - orders.answered_at() <= settings_.store_time;
}

std::optional<steady_time> record_relay::store_heard_at() const
{
    const steady_time answered = follower(fleet_topic::operator_orders).answered_at();
    if (answered == steady_time{}) {
        return passed_on_at_;
    }
    return std::max(answered, passed_on_at_.value_or(answered));
}

std::chrono::milliseconds record_relay::store_age() const
{
    const auto heard = store_heard_at();
    return heard ? std::chrono::duration_cast<std::chrono::milliseconds>(loop_.time().now() - *heard)
                 : std::chrono::milliseconds::max();
}

bool record_relay::hears_store() const
{
    return knows_all() && store_age() <= settings_.alone_time;
}

relay_status record_relay::describe_self() const
{
    relay_status status;
    status.hears_store = hears_store();
    status.store_age_ms = static_cast<std::uint64_t>(store_age().count());
    const steady_time now = loop_.time().now();
    status.lost_store = is_reader_ && !reads_fresh() && reading_since_ &&
                        now - *reading_since_ > settings_.resign_time &&
                        now - follower(fleet_topic::operator_orders).answered_at() > settings_.resign_time;
    return status;
}

std::size_t record_relay::lists_under_way() const
{
    std::size_t lists = 0;
    for (const auto& [address, who] : askers_) {
        lists += static_cast<std::size_t>(std::count_if(who.sent.begin(), who.sent.end(), [](const under_way& sent) {
            return sent.is_list && sent.since.has_value();
        }));
    }
    return lists;
}

static topic_news write_news(std::uint8_t topic, std::vector<keyed_record> records)
{
    topic_news news;
    news.topic = topic;
    news.records.reserve(records.size());
    for (keyed_record& record : records) {
        const bool dropped = !record.value;
        news.records.push_back(
            {std::move(record.key), dropped, dropped ? std::string{} : std::move(*record.value), record.offset});
    }
    return news;
}

/// Brings the packed news of a topic up to date. @return whether they are all newest records rather than changes.
bool record_relay::pack_news(const topic_position& position)
{
    const topic_follower& known = *followers_[position.topic];
    packed_news& changes = changes_[position.topic];
    if (position.whole && changes.from == position.end && changes.end == known.end() && !changes.payload.empty()) {
        return false;
    }
    auto records = position.whole ? known.changes_since(position.end) : std::nullopt;
    const bool is_list = !records;
    packed_news& packed = is_list ? lists_[position.topic] : changes;
    if (is_list && packed.end == known.end() && !packed.payload.empty()) {
        return true;
    }
    topic_news news = write_news(position.topic, is_list ? known.newest() : std::move(*records));
    news.newest = is_list;
    news.from = is_list ? 0 : position.end;
    news.end = known.end();
    packed = {news.from, news.end, encode(news), false};
    if (packed.payload.size() >= least_packed_bytes) {
        packed.payload = compress(packed.payload);
        packed.compressed = true;
    }
    return is_list;
}

/// Sends what an asker lacks of each topic, unless that is under way already.
/// @param with_status tells of this VM itself too.
void record_relay::tell(const std::string& address, asker& who, bool with_status)
{
    if (with_status) {
        // First, as what the store's return brings is judged by whether it is known to be back.
        link_->send(address, message_kind::relay_status, encode(describe_self()));
    }
    for (const topic_position& asked : who.known.positions) {
        if (asked.topic >= fleet_topics) {
            continue;
        }
        under_way& sent = who.sent[asked.topic];
        const topic_position position = sent.since ? topic_position{asked.topic, true, sent.end} : asked;
        const topic_follower& known = *followers_[asked.topic];
        if (!known.is_whole() || (position.whole && position.end >= known.end())) {
            continue;
        }
        const bool is_list = pack_news(position);
        if (is_list && lists_under_way() >= settings_.most_lists) {
            continue;
        }
        const packed_news& packed = (is_list ? lists_ : changes_)[asked.topic];
        const auto kind = packed.compressed ? message_kind::records_packed : message_kind::records_topic;
        if (link_->send(address, kind, packed.payload)) {
            sent = {packed.end, is_list || sent.is_list, sent.since.value_or(loop_.time().now())};
        }
    }
}

void record_relay::note_change()
{
    if (askers_.empty() || tell_timer_) {
        return;
    }
    tell_timer_ = loop_.schedule(settings_.gather_time, [this] {
        tell_timer_.reset();
        tell_all(owes_freshness());
    });
}

void record_relay::tell_all(bool with_status)
{
    for (auto& [address, who] : askers_) {
        if (who.known.follows) {
            tell(address, who, with_status);
        }
    }
}

/// @return whether the askers are to be told now that the store was heard, which they then are.
bool record_relay::owes_freshness()
{
    const auto heard = store_heard_at();
    if (!hears_store() || (told_heard_at_ && *heard - *told_heard_at_ < settings_.freshness_interval)) {
        return false;
    }
    told_heard_at_ = heard;
    return true;
}

/// Tells the askers that the store was heard, so that what they know of it ages alike at any depth.
void record_relay::pass_on_freshness()
{
    if (owes_freshness()) {
        tell_all(true);
    }
}

void record_relay::apply(const topic_news& topic)
{
    if (topic.topic >= fleet_topics) {
        return;
    }
    std::vector<keyed_record> records;
    records.reserve(topic.records.size());
    for (const passed_record& record : topic.records) {
        records.push_back({record.key, record.dropped ? std::nullopt : std::optional{record.value}, record.offset});
    }
    topic_follower& target = *followers_[topic.topic];
    if (!topic.newest) {
        target.take_changes(topic.from, topic.end, records);
        return;
    }
    const bool lacked = !target.is_whole();
    target.take_newest(topic.end, records);
    if (lacked) {
        // Confirms the list, so that its sender goes on to the next VM.
        ask_sources();
    }
}

record_relay::source* record_relay::source_at(const std::string& address)
{
    const auto known = std::find_if(sources_.begin(), sources_.end(),
                                    [&address](const source& each) { return each.vm.address == address; });
    return known == sources_.end() ? nullptr : &*known;
}

bool record_relay::was_asked(const std::string& address)
{
    return helpers_.contains(address) || source_at(address) != nullptr;
}

void record_relay::take_topic(const std::string& from, const topic_news& topic)
{
    if (!was_asked(from)) {
        return;
    }
    told_at_ = loop_.time().now();
    if (source* known = source_at(from)) {
        known->heard_at = heard_source_at_ = told_at_;
    }
    apply(topic);
}

void record_relay::take_status(const std::string& from, const relay_status& status)
{
    if (!was_asked(from)) {
        return;
    }
    const steady_time now = loop_.time().now();
    if (source* known = source_at(from)) {
        known->heard_at = heard_source_at_ = now;
        known->hears_store = status.hears_store;
        known->lost_store = status.lost_store;
    }
    if (!status.hears_store) {
        return;
    }
    const steady_time heard = now - std::chrono::milliseconds{status.store_age_ms};
    passed_on_at_ = std::max(heard, passed_on_at_.value_or(heard));
    for (topic_follower* each : followers_) {
        each->note_passed_on(*passed_on_at_);
    }
    pass_on_freshness();
}

} // namespace agatespar
