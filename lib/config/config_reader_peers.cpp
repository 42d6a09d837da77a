// The part of config_reader that exchanges states with peers and reports changes to the daemon.
#include <agatespar/config/config_reader.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>
#include <string>

namespace agatespar {

// A larger announcement contains only the mark, and the other VMs pull the records.
static constexpr std::size_t max_announced_bytes = 4096;

static std::size_t size_of(const config_state& message)
{
    std::size_t bytes = message.snapshot.size();
    for (const config_record& record : message.records) {
        bytes += record.payload.size();
    }
    return bytes;
}

duration config_reader::contact_age() const
{
    return loop_.time().now() - last_contact_at_;
}

config_mark config_reader::mark() const
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(contact_age());
    return {settings_.self,
            state_.current->number,
            state_.current->chain_hash,
            state_.covers,
            ready_,
            static_cast<std::uint64_t>(age.count())};
}

config_state config_reader::answer(const config_pull& pull)
{
    ++counters_.pulls_answered;
    return answer_pull(state_, history_, pull, mark());
}

void config_reader::pull_from(boot_id peer)
{
    const steady_time now = loop_.time().now();
    if (pull_sent_at_ && now - *pull_sent_at_ < settings_.pull_timeout) {
        return;
    }
    pull_sent_at_ = now;
    ++counters_.pulls;
    environment_.send_pull(peer, {state_.covers});
}

void config_reader::retry_pull()
{
    if (!newer_peer_) {
        return;
    }
    if (!is_behind(*newer_peer_) || pulls_to_newer_peer_ >= settings_.max_pulls) {
        newer_peer_.reset();
        return;
    }
    const std::uint64_t before = counters_.pulls;
    pull_from(newer_peer_->holder);
    pulls_to_newer_peer_ += counters_.pulls > before ? 1 : 0;
}

bool config_reader::is_behind(const config_mark& mark) const
{
    // The next record requires newer fold rules than this program has, so it can't be applied whoever sends it.
    if (state_.stopped_by_rules != 0) {
        return false;
    }
    return mark.number > state_.current->number || (trimmed_ && mark.covers > state_.covers);
}

void config_reader::handle_peer_mark(const config_mark& mark)
{
    if (mark.holder == settings_.self) {
        return;
    }
    if (mark.ready) {
        last_ready_peer_at_ = loop_.time().now();
    }
    if (mark.number == state_.current->number && mark.chain_hash != state_.current->chain_hash) {
        count(adoption_result::hash_mismatch, mark);
        return;
    }
    adopt_contact_age(mark);
    if (is_behind(mark)) {
        newer_peer_ = mark;
        pulls_to_newer_peer_ = 0;
        retry_pull();
    }
}

void config_reader::adopt_contact_age(const config_mark& mark)
{
    if (!mark.ready || mark.number > state_.current->number) {
        return;
    }
    update_last_contact(loop_.time().now() -
                        std::chrono::milliseconds{std::min<std::uint64_t>(mark.contact_age_ms, INT32_MAX)});
    set_ready();
}

void config_reader::handle_state(const config_state& message)
{
    counters_.peer_bytes += size_of(message);
    const auto before = state_.current;
    std::vector<fold_result> folded;
    const adoption_result result = adopt_state(state_, history_, message, folded);
    for (const fold_result& one : folded) {
        count(one);
    }
    count(result, message.mark);
    need_snapshot_ = need_snapshot_ && state_.covers.value() == 0;
    trimmed_ = trimmed_ && result != adoption_result::adopted;
    publish(before);
    if (result == adoption_result::gap) {
        pull_from(message.mark.holder);
        return;
    }
    pull_sent_at_.reset();
    if (result == adoption_result::adopted || result == adoption_result::not_newer) {
        adopt_contact_age(message.mark);
    }
}

void config_reader::count(const fold_result& result)
{
    if (result.repeated) {
        ++counters_.repeated;
        return;
    }
    const patch_verdict& verdict = result.verdict;
    switch (verdict.kind) {
    case verdict_kind::accepted:
        ++counters_.accepted;
        return;
    case verdict_kind::conflict:
        ++counters_.conflicts;
        return;
    case verdict_kind::invalid:
        ++counters_.invalid;
        return;
    case verdict_kind::malformed:
        ++counters_.malformed;
        return;
    case verdict_kind::too_new:
        ++counters_.too_new;
        log_event(log_severity::error, "config_fold_stopped",
                  {{"number", verdict.number.value()}, {"reason", verdict.reason}});
        return;
    }
}

void config_reader::count(adoption_result result, const config_mark& mark)
{
    switch (result) {
    case adoption_result::adopted:
        ++counters_.states_adopted;
        return;
    case adoption_result::not_newer:
    case adoption_result::gap:
        return;
    case adoption_result::refused:
        ++counters_.states_refused;
        return;
    case adoption_result::hash_mismatch:
        ++counters_.hash_mismatches;
        if (counters_.hash_mismatches == 1) {
            log_event(log_severity::error, "config_hash_mismatch",
                      {{"number", mark.number.value()}, {"peer", mark.holder.value()}});
        }
        return;
    }
}

void config_reader::publish(const std::shared_ptr<const configuration>& before)
{
    if (state_.current != before) {
        environment_.changed(state_.current);
    }
}

void config_reader::announce_records()
{
    if (!tailing_ || state_.covers == announced_offset_) {
        return;
    }
    config_state message = answer_pull(state_, history_, {announced_offset_}, mark());
    announced_offset_ = state_.covers;
    if (size_of(message) > max_announced_bytes) {
        message.records.clear();
        message.snapshot.clear();
    }
    if (ready_ && environment_.announce) {
        environment_.announce(message);
    }
}

void config_reader::update_last_contact(steady_time when)
{
    last_contact_at_ = std::max(last_contact_at_, when);
}

void config_reader::set_ready()
{
    if (ready_) {
        return;
    }
    ready_ = true;
    log_event(log_severity::info, "config_ready", {{"number", state_.current->number.value()}});
}

} // namespace agatespar
