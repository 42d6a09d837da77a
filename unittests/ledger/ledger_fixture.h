// Test fixture: a few VMs with claim clients and owners, an in-memory log and a manual event loop.
#pragma once

#include <agatespar/kernel/manual_event_loop.h>
#include <agatespar/ledger/claim_client.h>
#include <agatespar/ledger/claim_owner.h>
#include <agatespar/platform/memory_log.h>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace agatespar {

/// One VM: a client, and an owner of each partition for which the VM received a request. A VM without a client has
/// failed.
struct ledger_vm {
    std::unique_ptr<claim_client> client;
    std::map<ledger_partition, std::unique_ptr<claim_owner>> owners;
};

struct ledger_fixture {
    explicit ledger_fixture(std::size_t vm_count, std::uint64_t seed = 1) : log(loop, seed), random(seed)
    {
        for (std::size_t index = 0; index < vm_count; ++index) {
            vms.push_back(std::make_shared<ledger_vm>());
            boot(index);
        }
    }

    /// Restarts a VM's process, with a new boot id.
    void boot(std::size_t index)
    {
        vms[index] = std::make_shared<ledger_vm>();
        vms[index]->client = std::make_unique<claim_client>(
            loop, boot_id{++last_boot}, settings,
            [this, index](ledger_partition partition, unsigned attempt, const ledger_request& request) {
                // With owners_differ, VMs disagree on the owner of a partition.
                const std::size_t target = (first_owner + attempt + (owners_differ ? index : 0)) % vms.size();
                loop.schedule(message_delay,
                              [this, index, target, partition, request, from = std::weak_ptr(vms[index])] {
                                  deliver(target, partition, request, from);
                              });
            });
    }

    void kill(std::size_t index) { vms[index] = std::make_shared<ledger_vm>(); }

    /// @return the log service, with some appends that report an error at once and take effect between
    /// `late_append_delay` and 10 s after it.
    log_service faulty_log()
    {
        log_service service = log.service();
        service.append = [this, plain = service.append](append_request request, append_callback callback) {
            if (!std::bernoulli_distribution{late_append_probability}(random)) {
                plain(std::move(request), std::move(callback));
                return;
            }
            loop.post([callback = std::move(callback)] { callback(failure(error_code::unavailable, "late")); });
            loop.schedule(late_append_delay + std::chrono::milliseconds{random() % 10'000},
                          [this, request = std::move(request)] { log.append_now(request); });
        };
        return service;
    }

    claim_owner& owner(std::size_t index, ledger_partition partition)
    {
        auto& slot = vms[index]->owners[partition];
        if (!slot) {
            slot = std::make_unique<claim_owner>(loop, faulty_log(), partition, settings);
            slot->start();
        }
        return *slot;
    }

    void deliver(std::size_t target, ledger_partition partition, const ledger_request& request,
                 const std::weak_ptr<ledger_vm>& from)
    {
        if (!vms[target]->client) {
            return;
        }
        owner(target, partition).serve(request, [this, from](const ledger_answer& answer) {
            loop.schedule(message_delay, [from, answer] {
                if (const auto vm = from.lock()) {
                    vm->client->on_answer(answer);
                }
            });
        });
    }

    claim_order order(const std::string& key, submission submission_kind = submission::possibly_repeated)
    {
        claim_order result;
        result.key = {{fleet_name{"tornjevi"}, client_account_name{"shop"}}, idempotency_key{key}};
        result.key_time = loop.time().wall_now();
        result.request = request_id{"request-" + key};
        result.fingerprint = request_fingerprint{7};
        result.submission_kind = submission_kind;
        return result;
    }

    /// Claims a key and runs the loop until the result arrives.
    outcome<claim_result> claim(std::size_t index, const claim_order& submitted)
    {
        std::optional<outcome<claim_result>> answer;
        vms[index]->client->claim(submitted, [&](outcome<claim_result> result) { answer = std::move(result); });
        run_until([&] { return answer.has_value(); });
        return *answer;
    }

    outcome<key_report> look_up(std::size_t index, const claim_order& submitted, bool cancel = false)
    {
        std::optional<outcome<key_report>> answer;
        const auto keep = [&](outcome<key_report> result) { answer = std::move(result); };
        claim_client& client = *vms[index]->client;
        if (cancel) {
            client.cancel(submitted.key, submitted.key_time, submitted.timeout, keep);
        }
        else {
            client.look_up(submitted.key, submitted.key_time, submitted.timeout, keep);
        }
        run_until([&] { return answer.has_value(); });
        return *answer;
    }

    /// Advances in small steps, for at most one simulated minute, so that a missing answer fails the test instead of
    /// blocking it.
    template <class Condition>
    void run_until(Condition reached)
    {
        for (int step = 0; step < 60'000 && !reached(); ++step) {
            loop.advance(std::chrono::milliseconds{1});
        }
    }

    manual_event_loop loop;
    memory_log log;
    std::mt19937_64 random;
    double late_append_probability{0.0};
    std::chrono::milliseconds late_append_delay{0};
    ledger_settings settings;
    std::chrono::milliseconds message_delay{1};
    std::size_t first_owner{0};
    bool owners_differ{false};
    std::uint64_t last_boot{0};
    std::vector<std::shared_ptr<ledger_vm>> vms;
};

/// @return the granted claim of a result that must be one.
inline granted_claim granted(const outcome<claim_result>& result)
{
    return std::get<granted_claim>(result.value());
}

} // namespace agatespar
