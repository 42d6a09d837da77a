// Implements the fold of the `config` stream.
#include <agatespar/config/fold.h>
#include <agatespar/support/hash.h>

#include <algorithm>
#include <cassert>

namespace agatespar {

// Truncates a UTF-8 text to at most max_bytes without splitting a character.
static void truncate_text(std::string& text, std::size_t max_bytes)
{
    if (text.size() <= max_bytes) {
        return;
    }
    const auto is_continuation = [](char c) { return (static_cast<unsigned char>(c) & 0xc0U) == 0x80U; };
    while (max_bytes > 0 && is_continuation(text[max_bytes])) {
        --max_bytes;
    }
    text.resize(max_bytes);
}

static void remember(fold_state& state, patch_verdict verdict)
{
    truncate_text(verdict.reason, max_remembered_reason_bytes);
    state.verdicts.push_back(std::move(verdict));
    if (state.verdicts.size() > max_remembered_verdicts) {
        state.verdicts.pop_front();
    }
}

static patch_verdict evaluate_patch(fold_state& state, const patch& change, std::string_view payload)
{
    const configuration& current = *state.current;
    patch_verdict verdict{change.id, change.author, verdict_kind::conflict, current.number, {}};
    if (change.base != current.number) {
        verdict.reason = "written against " + std::to_string(change.base.value()) + ", current is " +
                         std::to_string(current.number.value());
        return verdict;
    }
    outcome<configuration> changed = apply_patch(current, change);
    if (!changed) {
        verdict.kind = verdict_kind::invalid;
        verdict.reason = changed.error().message;
        return verdict;
    }
    changed->number = config_number{current.number.value() + 1};
    changed->chain_hash = combine_hashes(current.chain_hash, stable_hash(payload));
    verdict.kind = verdict_kind::accepted;
    verdict.number = changed->number;
    state.current = std::make_shared<const configuration>(std::move(*changed));
    return verdict;
}

fold_result fold(fold_state& state, const log_record& record)
{
    assert(record.offset > state.covers && "a record is folded once, in the log's order");
    const std::uint32_t rules = peek_rules(record.payload);
    if (rules > fold_rules_version) {
        state.stopped_by_rules = rules;
        return {{{},
                 {},
                 verdict_kind::too_new,
                 state.current->number,
                 "requires fold rules version " + std::to_string(rules)},
                false};
    }
    state.stopped_by_rules = 0;
    state.covers = record.offset;
    const outcome<patch> change = parse_patch(record.payload, "offset " + std::to_string(record.offset.value()));
    if (!change) {
        return {{{}, {}, verdict_kind::malformed, state.current->number, change.error().message}, false};
    }
    if (const patch_verdict* first = find_verdict(state, change->id); first != nullptr) {
        return {*first, true};
    }
    patch_verdict verdict = evaluate_patch(state, *change, record.payload);
    remember(state, verdict);
    return {std::move(verdict), false};
}

const patch_verdict* find_verdict(const fold_state& state, const patch_id& id)
{
    const auto found = std::find_if(state.verdicts.begin(), state.verdicts.end(),
                                    [&id](const patch_verdict& verdict) { return verdict.id == id; });
    return found == state.verdicts.end() ? nullptr : &*found;
}

std::string_view to_string(verdict_kind kind)
{
    switch (kind) {
    case verdict_kind::accepted:
        return "accepted";
    case verdict_kind::conflict:
        return "conflict";
    case verdict_kind::invalid:
        return "invalid";
    case verdict_kind::malformed:
        return "malformed";
    case verdict_kind::too_new:
        return "too_new";
    }
    assert(false && "every verdict has a name");
    return "malformed";
}

} // namespace agatespar
