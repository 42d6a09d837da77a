// Asks readers for news, and answers those who ask this VM.
#include <agatespar/gateway/record_relay.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>

namespace agatespar {

void record_relay::ask_sources()
{
    const steady_time now = loop_.time().now();
    asked_sources_at_ = now;
    records_pull pull;
    for (std::size_t topic = 0; topic < fleet_topics; ++topic) {
        pull.positions.push_back(
            {static_cast<std::uint8_t>(topic), followers_[topic]->is_whole(), followers_[topic]->end()});
    }
    pull.follows = true;
    for (source& from : sources_) {
        from.asked = true;
        pull.unheard = now - from.heard_at.value_or(from.since) > settings_.pull_interval;
        link_->send(from.vm.address, message_kind::records_pull, encode(pull));
        // The second reader only stands by: what it would send at once comes from the first.
        pull.follows = false;
    }
}

void record_relay::receive(const std::string& from, message_kind kind, std::string_view payload)
{
    if (kind == message_kind::records_pull) {
        if (auto pull = decode<records_pull>(payload)) {
            take_pull(from, std::move(*pull));
            return;
        }
    }
    else if (kind == message_kind::records_news) {
        if (const auto news = decode<records_news>(payload)) {
            take_news(from, *news);
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
    who = {std::move(pull), loop_.time().now()};
    decide_reading();
    tell(from, who, true);
}

void record_relay::forget_old_askers()
{
    const steady_time now = loop_.time().now();
    std::erase_if(askers_, [&](const auto& entry) { return now - entry.second.asked_at > settings_.asker_time; });
}

bool record_relay::knows_all() const
{
    return std::all_of(followers_.begin(), followers_.end(),
                       [](const topic_follower* each) { return each->is_whole(); });
}

std::chrono::milliseconds record_relay::store_age() const
{
    const steady_time answered = follower(fleet_topic::operator_orders).answered_at();
    return std::chrono::duration_cast<std::chrono::milliseconds>(loop_.time().now() - answered);
}

bool record_relay::hears_store() const
{
    return reads_store_ && knows_all() && follower(fleet_topic::operator_orders).is_reachable() &&
           store_age() <= settings_.store_time;
}

records_news record_relay::describe_self() const
{
    records_news news;
    news.hears_store = hears_store();
    news.store_age_ms = static_cast<std::uint64_t>(store_age().count());
    return news;
}

/// @return what this VM knows beyond a position, or nothing if that is nothing.
std::optional<topic_news> record_relay::news_for(const topic_position& position) const
{
    const topic_follower& known = *followers_[position.topic];
    if (!known.is_whole() || (position.whole && position.end >= known.end())) {
        return std::nullopt;
    }
    topic_news news;
    news.topic = position.topic;
    news.end = known.end();
    auto changes = position.whole ? known.changes_since(position.end) : std::nullopt;
    news.newest = !changes;
    news.from = changes ? position.end : 0;
    for (keyed_record& record : changes ? *changes : known.newest()) {
        const bool dropped = !record.value;
        news.records.push_back(
            {std::move(record.key), dropped, dropped ? std::string{} : std::move(*record.value), record.offset});
    }
    return news;
}

/// Sends a message for each topic that has news. @param also_nothing answers even if there are none.
void record_relay::tell(const std::string& address, asker& who, bool also_nothing)
{
    records_news answer = describe_self();
    for (topic_position& position : who.known.positions) {
        if (position.topic >= fleet_topics) {
            continue;
        }
        auto news = news_for(position);
        if (!news) {
            continue;
        }
        position = {position.topic, true, news->end};
        answer.topics = {std::move(*news)};
        link_->send(address, message_kind::records_news, encode(answer));
        answer.topics.clear();
        also_nothing = false;
    }
    if (also_nothing) {
        link_->send(address, message_kind::records_news, encode(answer));
    }
}

void record_relay::note_change()
{
    if (askers_.empty() || tell_timer_) {
        return;
    }
    tell_timer_ = loop_.schedule(settings_.gather_time, [this] {
        tell_timer_.reset();
        tell_all();
    });
}

void record_relay::tell_all()
{
    for (auto& [address, who] : askers_) {
        if (who.known.follows) {
            tell(address, who, false);
        }
    }
}

void record_relay::take_news(const std::string& from, const records_news& news)
{
    const auto known =
        std::find_if(sources_.begin(), sources_.end(), [&from](const source& each) { return each.vm.address == from; });
    if (known == sources_.end()) {
        return;
    }
    for (const topic_news& topic : news.topics) {
        if (topic.topic >= fleet_topics) {
            continue;
        }
        std::vector<keyed_record> records;
        records.reserve(topic.records.size());
        for (const passed_record& record : topic.records) {
            records.push_back({record.key, record.dropped ? std::nullopt : std::optional{record.value}, record.offset});
        }
        topic_follower& target = *followers_[topic.topic];
        if (topic.newest) {
            target.take_newest(topic.end, records);
        }
        else {
            target.take_changes(topic.from, topic.end, records);
        }
    }
    const steady_time now = loop_.time().now();
    known->heard_at = now;
    known->hears_store = news.hears_store;
    known->store_age = std::chrono::milliseconds{news.store_age_ms};
    if (known->hears_store) {
        known->fresh_at = now;
        fresh_at_ = now;
        for (topic_follower* each : followers_) {
            each->note_passed_on();
        }
    }
}

} // namespace agatespar
