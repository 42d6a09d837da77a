// Bills each request once: drops duplicates by origin and number, and by request id for claimed requests.
#include <agatespar/ledger/usage_fold.h>
#include <agatespar/support/hash.h>

#include <algorithm>
#include <iterator>

namespace agatespar {

namespace {

struct usage_rollup_record {
    log_offset next{1};
    usage_totals totals;
    std::map<boot_id, seen_numbers> origins;
    std::vector<std::uint64_t> claimed_requests;
    MSGPACK_DEFINE_ARRAY(next, totals, origins, claimed_requests)
};

} // namespace

stream_name usage_stream()
{
    return stream_name{"usage"};
}

stream_name usage_totals_stream()
{
    return stream_name{"usage-totals"};
}

bool seen_numbers::insert(std::uint64_t number)
{
    auto after = ranges.upper_bound(number);
    if (after != ranges.begin()) {
        const auto before = std::prev(after);
        if (number <= before->second) {
            return false;
        }
        if (number == before->second + 1) {
            before->second = number;
            if (after != ranges.end() && after->first == number + 1) {
                before->second = after->second;
                ranges.erase(after);
            }
            return true;
        }
    }
    if (after != ranges.end() && after->first == number + 1) {
        const std::uint64_t last = after->second;
        ranges.erase(after);
        ranges.emplace(number, last);
        return true;
    }
    ranges.emplace(number, number);
    return true;
}

// Called when a new origin appears, so that the number of stored origins follows the number of those in use.
static void remove_idle_origins(usage_fold_state& state, wall_time newest)
{
    std::erase_if(state.origins, [newest](const auto& item) { return item.second.latest < newest - origin_retention; });
}

static bool is_new_sequence(usage_fold_state& state, const usage_record& record)
{
    const auto [found, inserted] = state.origins.try_emplace(record.sequence.origin);
    const bool is_new = found->second.insert(record.sequence.number);
    found->second.latest = std::max(found->second.latest, record.finished);
    if (inserted) {
        remove_idle_origins(state, record.finished);
    }
    return is_new;
}

static bool is_new_claim(usage_fold_state& state, const usage_record& record, std::size_t claimed_limit)
{
    const std::uint64_t hash = combine_hashes(
        combine_hashes(stable_hash(record.account.fleet.value()), stable_hash(record.account.name.value())),
        stable_hash(record.request.value()));
    if (!state.claimed_index.insert(hash).second) {
        return false;
    }
    state.claimed_requests.push_back(hash);
    if (state.claimed_requests.size() > claimed_limit) {
        state.claimed_index.erase(state.claimed_requests.front());
        state.claimed_requests.pop_front();
    }
    return true;
}

static void add_to_account(account_usage& account, const usage_record& record)
{
    ++account.requests;
    account.attempts += record.attempts.size();
    for (const attempt_cost& attempt : record.attempts) {
        account.prompt_tokens = token_count{account.prompt_tokens.value() + attempt.prompt_tokens.value()};
        account.answer_tokens = token_count{account.answer_tokens.value() + attempt.answer_tokens.value()};
        account.cost = cost_units{account.cost.value() + attempt.cost.value()};
    }
}

bool fold_usage_record(usage_fold_state& state, const usage_record& record, std::size_t claimed_limit)
{
    if (!is_new_sequence(state, record) || (record.claimed && !is_new_claim(state, record, claimed_limit))) {
        ++state.totals.duplicates;
        return false;
    }
    add_to_account(state.totals.accounts[record.account], record);
    return true;
}

void fold_usage_payload(usage_fold_state& state, std::string_view payload)
{
    if (const auto record = decode<usage_record>(payload)) {
        fold_usage_record(state, *record);
    }
    else {
        ++state.totals.malformed;
    }
    state.next = log_offset{state.next.value() + 1};
}

usage_totals fold_usage(const std::vector<log_record>& records)
{
    usage_fold_state state;
    for (const log_record& record : records) {
        fold_usage_payload(state, record.payload);
    }
    return state.totals;
}

std::string encode_usage_rollup(const usage_fold_state& state)
{
    usage_rollup_record rollup{state.next, state.totals, state.origins, {}};
    rollup.claimed_requests.assign(state.claimed_requests.begin(), state.claimed_requests.end());
    return encode(rollup);
}

outcome<usage_fold_state> decode_usage_rollup(std::string_view payload)
{
    auto rollup = decode<usage_rollup_record>(payload);
    if (!rollup) {
        return tl::make_unexpected(rollup.error());
    }
    usage_fold_state state;
    state.next = rollup->next;
    state.totals = std::move(rollup->totals);
    state.origins = std::move(rollup->origins);
    state.claimed_requests.assign(rollup->claimed_requests.begin(), rollup->claimed_requests.end());
    state.claimed_index.insert(rollup->claimed_requests.begin(), rollup->claimed_requests.end());
    return state;
}

} // namespace agatespar
