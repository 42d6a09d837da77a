// Checks the memory limits of a ledger partition and of the usage fold at the peak rate; prints the cost per record.
#include <agatespar/ledger/ledger_snapshot.h>
#include <agatespar/ledger/partition_state.h>
#include <agatespar/ledger/usage_fold.h>

#include <catch2/catch.hpp>
#include <malloc.h>

#include <chrono>
#include <string>

using namespace agatespar;
using namespace std::chrono_literals;

// Memory limit of a node for all control functions.
static constexpr std::size_t node_memory_budget = 32 * 1024 * 1024;
static constexpr std::size_t claims_per_second = 500;

static std::size_t allocated_bytes()
{
    return mallinfo2().uordblks;
}

template <class Work>
static double microseconds_each(std::size_t count, Work work)
{
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < count; ++index) {
        work(index);
    }
    const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - start;
    return spent.count() / static_cast<double>(count);
}

// Key and request id have the length of UUIDs, 36 characters.
static claim_record claim_number(std::size_t index)
{
    const std::string number = std::to_string(index);
    const std::string uuid = std::string(36 - number.size(), '0') + number;
    claim_record claim;
    claim.key = {{fleet_name{"tornjevi"}, client_account_name{"webshop"}}, idempotency_key{uuid}};
    claim.id = {boot_id{0x1234567890abcdef}, index};
    claim.request = request_id{uuid};
    claim.fingerprint = request_fingerprint{0xfedcba0987654321};
    claim.key_time = wall_time{std::chrono::seconds{1'700'000'000}};
    claim.written = claim.key_time;
    claim.expiry = claim.key_time + 30s;
    return claim;
}

SCENARIO("the state of a partition at the peak rate stays within the node's memory limit")
{
    const ledger_settings settings;
    const auto kept = std::chrono::duration_cast<std::chrono::seconds>(settings.key_window + settings.window_slack);
    const std::size_t keys = claims_per_second * static_cast<std::size_t>(kept.count()) / ledger_partition_count;
    std::vector<std::string> payloads;
    std::size_t bytes = 0;
    for (std::size_t index = 0; index < keys; ++index) {
        const claim_record claim = claim_number(index);
        payloads.push_back(encode_record(claim));
        payloads.push_back(encode_record(outcome_record{claim.key, claim.id, {claim.request, 201, "", "", false}}));
        bytes += payloads[2 * index].size() + payloads[2 * index + 1].size();
    }
    const std::size_t before = allocated_bytes();
    partition_state state;
    const double microseconds_per_record =
        microseconds_each(payloads.size(), [&](std::size_t index) { fold_record(state, payloads[index]); });
    const std::size_t used = allocated_bytes() - before;
    std::size_t snapshot_bytes = 0;
    for (const std::string& part : encode_snapshot(state)) {
        snapshot_bytes += part.size();
    }
    REQUIRE(state.keys.size() == keys);
    CHECK(used <= node_memory_budget);
    // A snapshot must be smaller than the records that it replaces.
    CHECK(snapshot_bytes < bytes);
    WARN(keys << " keys: " << used / keys << " bytes of memory per key, " << bytes / keys
              << " bytes of claim and outcome records, " << snapshot_bytes / keys << " bytes of snapshot, fold "
              << microseconds_per_record << " us per record");
}

SCENARIO("the state of the usage fold at the peak rate stays within the node's memory limit")
{
    constexpr std::size_t records = 600'000;
    constexpr std::size_t origins = 340;
    const std::size_t before = allocated_bytes();
    usage_fold_state state;
    std::size_t bytes = 0;
    const double microseconds_per_record = microseconds_each(records, [&](std::size_t index) {
        usage_record record;
        record.request = claim_number(index).request;
        record.account = {fleet_name{"tornjevi"}, client_account_name{"webshop"}};
        record.service = service_name{"narudzbe"};
        record.attempts.push_back({model_name{"quick"}, version_name{"3"}, token_count{800}, token_count{300}, {}});
        record.claimed = true;
        record.sequence = {boot_id{index % origins + 1}, index / origins + 1};
        const std::string payload = encode(record);
        bytes += payload.size();
        fold_usage_payload(state, payload);
    });
    const std::size_t used = allocated_bytes() - before;
    CHECK(state.claimed_index.size() == max_claimed_requests);
    CHECK(state.totals.duplicates == 0);
    CHECK(used <= node_memory_budget);
    WARN("usage fold: " << used / 1024 << " KB, " << bytes / records << " bytes per record, encode and fold "
                        << microseconds_per_record << " us per record, roll-up "
                        << encode_usage_rollup(state).size() / 1024 << " KB");
}
