// Keeps the history of records, and checks and adopts the states of peers.
#include <agatespar/config/peer_exchange.h>

#include <chrono>

namespace agatespar {

// A few hours of changes at the rate that the system is designed for. A VM that is further behind gets a snapshot.
static constexpr std::size_t max_history_records = 512;
static constexpr std::size_t max_history_bytes = 512 * 1024;

void record_history::add(const log_record& record)
{
    if (!records_.empty() && record.offset.value() != records_.back().offset.value() + 1) {
        clear();
    }
    records_.push_back({record.offset, record.payload});
    bytes_ += record.payload.size();
    while (records_.size() > max_history_records || (bytes_ > max_history_bytes && records_.size() > 1)) {
        bytes_ -= records_.front().payload.size();
        records_.pop_front();
    }
}

void record_history::clear()
{
    records_.clear();
    bytes_ = 0;
}

std::optional<std::vector<config_record>> record_history::after(log_offset covers) const
{
    if (records_.empty() || covers.value() + 1 < records_.front().offset.value() || covers > records_.back().offset) {
        return std::nullopt;
    }
    const auto first = static_cast<std::ptrdiff_t>(covers.value() + 1 - records_.front().offset.value());
    return std::vector<config_record>{records_.begin() + first, records_.end()};
}

config_state answer_pull(const fold_state& state, const record_history& history, const config_pull& pull,
                         const config_mark& mark)
{
    config_state answer{mark, {}, {}};
    if (pull.covers >= state.covers) {
        return answer;
    }
    if (auto records = history.after(pull.covers)) {
        answer.records = std::move(*records);
        return answer;
    }
    answer.snapshot = format_snapshot({state, wall_time{}});
    return answer;
}

adoption_result adopt_snapshot(fold_state& state, record_history& history, const fold_state& snapshot)
{
    const configuration& own = *state.current;
    const configuration& other = *snapshot.current;
    if (own.number == other.number && own.chain_hash != other.chain_hash) {
        return adoption_result::hash_mismatch;
    }
    if (snapshot.covers <= state.covers) {
        return adoption_result::not_newer;
    }
    if (other.number < own.number) {
        return adoption_result::refused;
    }
    // A snapshot with the same number is adopted for its later offset, but the published configuration object is kept.
    const auto current = own.number == other.number ? state.current : snapshot.current;
    state = snapshot;
    state.current = current;
    history.clear();
    return adoption_result::adopted;
}

static adoption_result adopt_records(fold_state& state, record_history& history, const config_state& message,
                                     std::vector<fold_result>& folded)
{
    fold_state next = state;
    std::vector<log_record> new_records;
    for (const config_record& record : message.records) {
        if (record.offset <= next.covers) {
            continue;
        }
        if (record.offset.value() != next.covers.value() + 1) {
            return adoption_result::gap;
        }
        new_records.push_back({record.offset, record.payload});
        folded.push_back(fold(next, new_records.back()));
        if (next.stopped_by_rules != 0) {
            new_records.pop_back();
            break;
        }
    }
    const bool complete = next.covers == message.mark.covers;
    if (complete &&
        (next.current->number != message.mark.number || next.current->chain_hash != message.mark.chain_hash)) {
        folded.clear();
        return next.current->number == message.mark.number ? adoption_result::hash_mismatch : adoption_result::refused;
    }
    if (!complete && next.stopped_by_rules == 0) {
        folded.clear();
        return adoption_result::gap;
    }
    for (const log_record& record : new_records) {
        history.add(record);
    }
    const bool advanced = next.covers > state.covers;
    state = std::move(next);
    return advanced ? adoption_result::adopted : adoption_result::not_newer;
}

adoption_result adopt_state(fold_state& state, record_history& history, const config_state& message,
                            std::vector<fold_result>& folded)
{
    if (message.mark.number == state.current->number && message.mark.chain_hash != state.current->chain_hash) {
        return adoption_result::hash_mismatch;
    }
    if (message.mark.covers <= state.covers) {
        return adoption_result::not_newer;
    }
    if (message.snapshot.empty()) {
        return adopt_records(state, history, message, folded);
    }
    const outcome<config_snapshot> snapshot = parse_snapshot(message.snapshot);
    if (!snapshot || snapshot->state.current->number != message.mark.number ||
        snapshot->state.current->chain_hash != message.mark.chain_hash) {
        return adoption_result::refused;
    }
    return adopt_snapshot(state, history, snapshot->state);
}

} // namespace agatespar
