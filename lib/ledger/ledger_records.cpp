// Encoding of ledger records; assignment of keys to partitions.
#include <agatespar/ledger/ledger_records.h>
#include <agatespar/support/hash.h>

namespace agatespar {

namespace {

// `kind` is the index of the alternative in ledger_record, so the order of the alternatives is part of the wire format.
struct record_envelope {
    std::uint8_t kind{0};
    std::string body;
    MSGPACK_DEFINE_ARRAY(kind, body)
};

} // namespace

template <class Record>
static outcome<ledger_record> decode_alternative(std::string_view body)
{
    return decode<Record>(body).map([](Record&& record) { return ledger_record{std::move(record)}; });
}

std::string encode_record(const ledger_record& record)
{
    record_envelope envelope;
    envelope.kind = static_cast<std::uint8_t>(record.index());
    envelope.body = std::visit([](const auto& alternative) { return encode(alternative); }, record);
    return encode(envelope);
}

outcome<ledger_record> decode_record(std::string_view payload)
{
    const auto envelope = decode<record_envelope>(payload);
    if (!envelope) {
        return tl::make_unexpected(envelope.error());
    }
    switch (envelope->kind) {
    case 0:
        return decode_alternative<claim_record>(envelope->body);
    case 1:
        return decode_alternative<abandoned_record>(envelope->body);
    case 2:
        return decode_alternative<cancel_record>(envelope->body);
    case 3:
        return decode_alternative<outcome_record>(envelope->body);
    default:
        return failure(error_code::malformed, "ledger record has an unknown kind");
    }
}

const ledger_key& key_of(const ledger_record& record)
{
    return std::visit([](const auto& alternative) -> const ledger_key& { return alternative.key; }, record);
}

ledger_partition partition_of(const ledger_key& key)
{
    const std::uint64_t account =
        combine_hashes(stable_hash(key.account.fleet.value()), stable_hash(key.account.name.value()));
    const std::uint64_t hash = combine_hashes(account, stable_hash(key.key.value()));
    return ledger_partition{static_cast<std::uint32_t>(hash % ledger_partition_count)};
}

stream_name ledger_stream(ledger_partition partition)
{
    return stream_name{"ledger-" + std::to_string(partition.value())};
}

stream_name ledger_snapshot_stream(ledger_partition partition)
{
    return stream_name{"ledger-snapshots-" + std::to_string(partition.value())};
}

} // namespace agatespar
