// Counts the crashes (strikes) attributed to each request or prompt part and exchanges the counts as gossip items.
#include <agatespar/backend/crash_guard.h>
#include <agatespar/wire/codec.h>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace agatespar {

namespace {

constexpr std::uint8_t guilty_strikes = 2;

/// Content of an item. If each strike counts, the item holds the number of strikes only.
struct sourced_strikes {
    std::uint8_t strikes{0};
    std::uint64_t struck_by{0};
    std::uint64_t crash{0};
    std::vector<crash_subject> companions;

    MSGPACK_DEFINE_ARRAY(strikes, struck_by, crash, companions)
};

} // namespace

static bool contains(const std::vector<crash_subject>& subjects, crash_subject subject)
{
    return std::find(subjects.begin(), subjects.end(), subject) != subjects.end();
}

static void add_missing(std::vector<crash_subject>& subjects, const std::vector<crash_subject>& others)
{
    std::copy_if(others.begin(), others.end(), std::back_inserter(subjects),
                 [&subjects](crash_subject subject) { return !contains(subjects, subject); });
}

static void keep_common(std::vector<crash_subject>& subjects, const std::vector<crash_subject>& others)
{
    std::erase_if(subjects, [&others](crash_subject subject) { return !contains(others, subject); });
}

crash_verdict crash_guard::verdict_of(const entry& held, steady_time now) const
{
    if (held.strikes == 0 || now >= held.expires) {
        return crash_verdict::clear;
    }
    if (held.strikes < guilty_strikes) {
        return crash_verdict::suspect;
    }
    const bool settled = held.struck_by == 0 || now - held.last_struck_at >= settings_.settling_time;
    return settled ? crash_verdict::guilty : crash_verdict::unsettled;
}

crash_verdict crash_guard::verdict(crash_subject subject, steady_time now) const
{
    const auto found = entries_.find(subject);
    return found == entries_.end() ? crash_verdict::clear : verdict_of(found->second, now);
}

crash_verdict crash_guard::verdict(const crash_suspects& suspects, steady_time now) const
{
    if (entries_.empty()) {
        return crash_verdict::clear;
    }
    crash_verdict worst = verdict(suspects.request, now);
    for (const crash_subject part : suspects.parts) {
        worst = std::max(worst, verdict_in_prompt(part, suspects.parts, now));
    }
    return worst;
}

crash_verdict crash_guard::verdict_in_prompt(crash_subject part, const std::vector<crash_subject>& parts,
                                             steady_time now) const
{
    const auto found = entries_.find(part);
    if (found == entries_.end()) {
        return crash_verdict::clear;
    }
    const crash_verdict held = verdict_of(found->second, now);
    const auto may_be_cause = [&](crash_subject companion) {
        const auto other = entries_.find(companion);
        const bool cleared = other != entries_.end() && verdict_of(other->second, now) == crash_verdict::clear;
        return !cleared && !contains(parts, companion);
    };
    const auto& companions = found->second.companions;
    const bool has_other_cause = std::any_of(companions.begin(), companions.end(), may_be_cause);
    return has_other_cause ? std::min(held, crash_verdict::suspect) : held;
}

std::optional<steady_time> crash_guard::refused_until(const crash_suspects& suspects, steady_time now) const
{
    if (entries_.empty()) {
        return std::nullopt;
    }
    std::optional<steady_time> until;
    const auto check = [&](crash_subject subject, crash_verdict held) {
        if (held == crash_verdict::guilty) {
            const steady_time expires = entries_.at(subject).expires;
            until = std::max(until.value_or(expires), expires);
        }
    };
    check(suspects.request, verdict(suspects.request, now));
    for (const crash_subject part : suspects.parts) {
        check(part, verdict_in_prompt(part, suspects.parts, now));
    }
    return until;
}

crash_guard::entry* crash_guard::find(crash_subject subject, steady_time now)
{
    const auto found = entries_.find(subject);
    if (found == entries_.end()) {
        return nullptr;
    }
    if (now >= found->second.expires) {
        found->second.strikes = 0;
        found->second.struck_by = 0;
        found->second.companions.clear();
    }
    return &found->second;
}

crash_guard::entry& crash_guard::insert_entry(crash_subject subject)
{
    if (entries_.size() >= settings_.max_verdicts) {
        const auto oldest = std::min_element(entries_.begin(), entries_.end(), [](const auto& left, const auto& right) {
            return std::tie(left.second.strikes, left.second.expires) <
                   std::tie(right.second.strikes, right.second.expires);
        });
        entries_.erase(oldest);
    }
    return entries_[subject];
}

crash_notice crash_guard::on_crash(crash_subject request, bool alone, steady_time now, wall_time wall_now)
{
    const entry& held = add_strike(request, alone, now);
    return {make_item(request, held, wall_now), verdict(request, now), settings_.answer_delay};
}

crash_guard::entry& crash_guard::add_strike(crash_subject subject, bool alone, steady_time now)
{
    entry* held = find(subject, now);
    if (held == nullptr) {
        held = &insert_entry(subject);
    }
    if (held->strikes == 0) {
        held->struck_since = now;
    }
    // If no other request was running, this one is the only possible cause.
    held->strikes =
        alone ? guilty_strikes : static_cast<std::uint8_t>(std::min<int>(held->strikes + 1, guilty_strikes));
    // VMs that record a crash of the same request concurrently may produce the same version; on_item() then keeps the
    // higher number of strikes.
    held->version += 1;
    held->expires = now + settings_.verdict_lifetime;
    held->last_struck_at = now;
    return *held;
}

bool crash_guard::add_evidence(crash_subject subject, std::uint64_t struck_by,
                               const std::vector<crash_subject>& suspected, const crashed_attempt& attempt,
                               steady_time now)
{
    if (const entry* known = find(subject, now); known != nullptr && known->strikes > 0) {
        const bool same_cause = known->struck_by == struck_by || known->crash == attempt.crash;
        if (same_cause || attempt.sent_at <= known->struck_since) {
            return false;
        }
    }
    entry& held = add_strike(subject, false, now);
    held.struck_by = struck_by;
    held.crash = attempt.crash;
    if (held.strikes > 1) {
        keep_common(held.companions, suspected);
    }
    else {
        held.companions = suspected;
        std::erase(held.companions, subject);
    }
    return true;
}

std::vector<gossip_item> crash_guard::on_crash(const crashed_attempt& attempt, steady_time now, wall_time wall_now)
{
    const crash_suspects& suspects = attempt.suspects;
    if (verdict(suspects, now) >= crash_verdict::unsettled) {
        return {};
    }
    std::vector<gossip_item> items;
    const bool is_new = add_evidence(suspects.request, attempt.client_attempt, {}, attempt, now);
    const bool is_guilty = verdict(suspects.request, now) >= crash_verdict::unsettled;
    // Many requests lose their server at once when a zone is lost. Other VMs need not know of those that are retried.
    if (!attempt.may_be_retried || (is_new && is_guilty)) {
        items.push_back(make_item(suspects.request, entries_.at(suspects.request), wall_now));
    }
    std::vector<crash_subject> suspected = suspects.parts;
    std::erase_if(suspected, [&](crash_subject part) { return is_cleared_by_answers(part, attempt.crash); });
    for (const crash_subject part : suspected) {
        if (add_evidence(part, suspects.request.value(), suspected, attempt, now)) {
            items.push_back(make_item(part, entries_.at(part), wall_now));
        }
    }
    return items;
}

std::vector<gossip_item> crash_guard::on_answer(const crash_suspects& suspects, steady_time now, wall_time wall_now)
{
    std::vector<gossip_item> items;
    const auto clear_subject = [&](crash_subject subject) {
        if (auto item = clear(subject, now, wall_now)) {
            items.push_back(std::move(*item));
        }
    };
    if (!entries_.empty()) {
        clear_subject(suspects.request);
        std::for_each(suspects.parts.begin(), suspects.parts.end(), clear_subject);
    }
    for (const crash_subject part : suspects.parts) {
        remember_answered(part);
    }
    return items;
}

std::optional<gossip_item> crash_guard::on_completed_alone(crash_subject request, steady_time now, wall_time wall_now)
{
    return verdict(request, now) == crash_verdict::suspect ? clear(request, now, wall_now) : std::nullopt;
}

std::optional<gossip_item> crash_guard::clear(crash_subject subject, steady_time now, wall_time wall_now)
{
    entry* held = find(subject, now);
    if (held == nullptr || held->strikes == 0) {
        return std::nullopt;
    }
    held->strikes = 0;
    held->companions.clear();
    held->version += 1;
    return make_item(subject, *held, wall_now);
}

bool crash_guard::is_cleared_by_answers(crash_subject part, std::uint64_t crash)
{
    for (answered_parts* parts : {&answered_, &answered_before_}) {
        const auto found = parts->find(part);
        if (found == parts->end()) {
            continue;
        }
        // Several requests with the part may lose the same server.
        if (std::exchange(found->second.last_crash, crash) != crash) {
            ++found->second.count;
        }
        return found->second.count < settings_.crashes_despite_answer;
    }
    return false;
}

void crash_guard::remember_answered(crash_subject part)
{
    answered_[part] = {};
    if (answered_.size() * 2 >= settings_.max_answered_parts) {
        answered_before_ = std::exchange(answered_, {});
    }
}

static outcome<sourced_strikes> read_strikes(const std::string& bytes)
{
    if (const auto strikes = decode<std::uint8_t>(bytes)) {
        return sourced_strikes{*strikes, 0, 0, {}};
    }
    return decode<sourced_strikes>(bytes);
}

bool crash_guard::on_item(const gossip_item& item, steady_time now)
{
    const auto subject = decode<crash_subject>(item.name);
    const auto strikes = read_strikes(item.bytes);
    if (!subject || !strikes) {
        return false;
    }
    entry* held = find(*subject, now);
    if (held == nullptr) {
        held = &insert_entry(*subject);
    }
    if (item.version >= held->version) {
        const bool is_known = item.version == held->version;
        if (held->strikes == 0) {
            held->struck_since = now;
        }
        if (strikes->strikes > held->strikes) {
            held->last_struck_at = now;
        }
        // Of two VMs' changes at the same time, an answer to a request with the part disproves a crash.
        const bool answered = strikes->struck_by != 0 && std::min(held->strikes, strikes->strikes) == 0;
        const auto both = answered ? std::uint8_t{0} : std::max(held->strikes, strikes->strikes);
        if (!is_known || held->strikes == 0) {
            held->companions = strikes->companions;
        }
        else if (held->crash == strikes->crash) {
            // Either request may be the cause of the crash.
            add_missing(held->companions, strikes->companions);
        }
        else {
            keep_common(held->companions, strikes->companions);
        }
        held->crash = strikes->crash;
        held->strikes = is_known ? both : strikes->strikes;
        held->struck_by = strikes->struck_by;
        held->version = item.version;
        held->expires = now + settings_.verdict_lifetime;
    }
    return true;
}

gossip_item crash_guard::make_item(crash_subject subject, const entry& held, wall_time wall_now) const
{
    const auto expires = (wall_now + settings_.verdict_lifetime).time_since_epoch();
    return {gossip_kind::quarantine_verdict, encode(subject), held.version,
            static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(expires).count()),
            held.struck_by == 0 ? encode(held.strikes)
                                : encode(sourced_strikes{held.strikes, held.struck_by, held.crash, held.companions})};
}

} // namespace agatespar
