// The rules that determine, from the order of the records in the log, which claim holds a key.
#include <agatespar/ledger/partition_state.h>

#include <algorithm>

namespace agatespar {

// A key with this many claims accepts no further ones. Limits the memory of a key that is claimed and abandoned again
// and again.
static constexpr std::size_t max_claims_per_key = 64;

static claim_entry* find_claim(key_entry& entry, claim_id id)
{
    const auto found = std::find_if(entry.claims.begin(), entry.claims.end(),
                                    [id](const claim_entry& candidate) { return candidate.id == id; });
    return found == entry.claims.end() ? nullptr : &*found;
}

static const claim_entry* find_claim(const key_entry& entry, claim_id id)
{
    return find_claim(const_cast<key_entry&>(entry), id);
}

static const claim_entry* find_holder(const key_entry& entry)
{
    const auto found = std::find_if(entry.claims.begin(), entry.claims.end(),
                                    [](const claim_entry& claim) { return claim.status == claim_status::held; });
    return found == entry.claims.end() ? nullptr : &*found;
}

static bool is_open(const key_entry& entry)
{
    return !entry.cancelled && !entry.outcome_at && find_holder(entry) == nullptr &&
           entry.claims.size() < max_claims_per_key;
}

static key_entry& entry_of(partition_state& state, const ledger_key& key, wall_time key_time)
{
    const auto [found, inserted] = state.keys.try_emplace(key);
    if (inserted) {
        found->second.key_time = key_time;
    }
    return found->second;
}

static void fold(partition_state& state, const claim_record& claim)
{
    key_entry& entry = entry_of(state, claim.key, claim.key_time);
    if (find_claim(entry, claim.id) != nullptr || entry.claims.size() >= max_claims_per_key) {
        return;
    }
    const request_fingerprint first = entry.fingerprint.value_or(claim.fingerprint);
    const bool gets_key = is_open(entry) && first == claim.fingerprint;
    entry.fingerprint = first;
    entry.claims.push_back({claim.id, gets_key ? claim_status::held : claim_status::lost, state.next, claim.expiry});
}

static void fold(partition_state& state, const abandoned_record& abandoned)
{
    key_entry& entry = entry_of(state, abandoned.key, abandoned.key_time);
    if (claim_entry* claim = find_claim(entry, abandoned.id)) {
        claim->status = claim_status::abandoned;
        return;
    }
    // The claim's own append may still take effect; the claim must not hold the key then.
    if (entry.claims.size() < max_claims_per_key) {
        entry.claims.push_back({abandoned.id, claim_status::abandoned, state.next, wall_time{}});
    }
}

static void fold(partition_state& state, const cancel_record& cancel)
{
    key_entry& entry = entry_of(state, cancel.key, cancel.key_time);
    if (!entry.outcome_at && find_holder(entry) == nullptr) {
        entry.cancelled = true;
    }
}

static void fold(partition_state& state, const outcome_record& result)
{
    const auto found = state.keys.find(result.key);
    if (found == state.keys.end() || found->second.outcome_at) {
        return;
    }
    const claim_entry* claim = find_claim(found->second, result.id);
    if (claim != nullptr && claim->status == claim_status::held) {
        found->second.outcome_at = state.next;
    }
}

void fold_record(partition_state& state, std::string_view payload)
{
    const auto record = decode_record(payload);
    if (record) {
        std::visit([&](const auto& alternative) { fold(state, alternative); }, *record);
    }
    else {
        ++state.malformed;
    }
    state.next = log_offset{state.next.value() + 1};
}

void remove_old_keys(partition_state& state, wall_time now, const ledger_settings& settings)
{
    const wall_time oldest = now - settings.key_window - settings.window_slack;
    std::erase_if(state.keys, [oldest](const auto& item) { return item.second.key_time < oldest; });
}

std::optional<claim_status> status_of_claim(const partition_state& state, const ledger_key& key, claim_id id)
{
    const auto found = state.keys.find(key);
    if (found == state.keys.end()) {
        return std::nullopt;
    }
    const claim_entry* claim = find_claim(found->second, id);
    return claim == nullptr ? std::nullopt : std::optional{claim->status};
}

static key_evaluation evaluate_entry(const key_entry& entry, wall_time now, const ledger_settings& settings)
{
    if (entry.cancelled) {
        return {ledger_verdict::cancelled, {}, {}};
    }
    if (entry.outcome_at) {
        return {ledger_verdict::finished, {}, *entry.outcome_at};
    }
    if (const claim_entry* holder = find_holder(entry)) {
        const bool over = now > holder->expiry + settings.max_clock_skew + settings.max_run_time;
        return {over ? ledger_verdict::outcome_unknown : ledger_verdict::running,
                fencing_number{holder->offset.value()},
                {}};
    }
    return {entry.claims.empty() ? ledger_verdict::not_claimed : ledger_verdict::abandoned, {}, {}};
}

key_evaluation evaluate_key(const partition_state& state, const ledger_key& key, wall_time now,
                            const ledger_settings& settings)
{
    const auto found = state.keys.find(key);
    return found == state.keys.end() ? key_evaluation{} : evaluate_entry(found->second, now, settings);
}

key_evaluation evaluate_claim(const partition_state& state, const claim_record& claim, wall_time now,
                              const ledger_settings& settings)
{
    const auto found = state.keys.find(claim.key);
    if (found == state.keys.end()) {
        return {};
    }
    const key_entry& entry = found->second;
    if (entry.fingerprint && *entry.fingerprint != claim.fingerprint) {
        return {ledger_verdict::key_reused, {}, {}};
    }
    const claim_entry* own = find_claim(entry, claim.id);
    if (own != nullptr && own->status == claim_status::held && !entry.outcome_at) {
        return {ledger_verdict::granted, fencing_number{own->offset.value()}, {}};
    }
    const key_evaluation others = evaluate_entry(entry, now, settings);
    // A claim in the log keeps its position, so that writing it again cannot change its state.
    const bool may_get_key = own == nullptr && is_open(entry);
    if (others.verdict == ledger_verdict::abandoned && may_get_key) {
        return {};
    }
    return others;
}

} // namespace agatespar
