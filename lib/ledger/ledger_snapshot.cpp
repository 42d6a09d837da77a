// Splits a partition's state into payloads of limited size and reassembles it.
#include <agatespar/ledger/ledger_snapshot.h>

namespace agatespar {

static constexpr std::size_t keys_per_chunk = 500;

std::vector<std::string> encode_snapshot(const partition_state& state)
{
    std::vector<snapshot_chunk> chunks(1);
    for (const auto& item : state.keys) {
        if (chunks.back().keys.size() == keys_per_chunk) {
            chunks.emplace_back();
        }
        chunks.back().keys.emplace_back(item.first, item.second);
    }
    std::vector<std::string> payloads;
    for (std::size_t index = 0; index < chunks.size(); ++index) {
        chunks[index].index = static_cast<std::uint32_t>(index);
        chunks[index].count = static_cast<std::uint32_t>(chunks.size());
        chunks[index].next = state.next;
        payloads.push_back(encode(chunks[index]));
    }
    return payloads;
}

outcome<std::uint32_t> snapshot_size(std::string_view last_payload)
{
    const auto chunk = decode<snapshot_chunk>(last_payload);
    if (!chunk) {
        return tl::make_unexpected(chunk.error());
    }
    if (chunk->count == 0 || chunk->index + 1 != chunk->count) {
        return failure(error_code::malformed, "snapshot ends with a payload that is not its last part");
    }
    return chunk->count;
}

outcome<partition_state> decode_snapshot(const std::vector<std::string>& payloads)
{
    partition_state state;
    for (std::size_t index = 0; index < payloads.size(); ++index) {
        auto chunk = decode<snapshot_chunk>(payloads[index]);
        if (!chunk) {
            return tl::make_unexpected(chunk.error());
        }
        if (chunk->index != index || chunk->count != payloads.size() || (index > 0 && chunk->next != state.next)) {
            return failure(error_code::malformed, "snapshot has inconsistent parts");
        }
        state.next = chunk->next;
        for (auto& [key, entry] : chunk->keys) {
            state.keys.emplace(std::move(key), std::move(entry));
        }
    }
    return state;
}

} // namespace agatespar
