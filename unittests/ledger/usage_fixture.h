// Test fixture: VMs that hold each other's usage records, an in-memory log and a manual event loop.
#pragma once

#include <agatespar/kernel/manual_event_loop.h>
#include <agatespar/ledger/usage_outbox.h>
#include <agatespar/ledger/usage_reader.h>
#include <agatespar/platform/memory_log.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace agatespar {

/// VMs that hold each other's records. Messages take one millisecond and can be lost.
struct usage_fixture {
    explicit usage_fixture(std::size_t count, std::uint64_t seed = 1,
                           std::chrono::milliseconds hold_wait = std::chrono::seconds{1})
        : log(loop, seed), random(seed)
    {
        settings.max_hold_wait = hold_wait;
        for (std::uint64_t id = 1; id <= count; ++id) {
            boot(boot_id{id});
        }
    }

    void boot(boot_id id)
    {
        usage_peers peers;
        peers.choose_holder = [this, id](const std::vector<boot_id>& tried) -> std::optional<boot_id> {
            for (const auto& [other, vm] : vms) {
                if (other != id && std::find(tried.begin(), tried.end(), other) == tried.end()) {
                    return other;
                }
            }
            return std::nullopt;
        };
        peers.send_hold = [this, id](boot_id to, const usage_hold& message) {
            post(to, [id, message](usage_outbox& vm) { vm.on_hold(id, message); });
        };
        peers.send_held = [this, id](boot_id to, const usage_held& message) {
            post(to, [id, message](usage_outbox& vm) { vm.on_held(id, message); });
        };
        peers.send_release = [this, id](boot_id to, const usage_release& message) {
            post(to, [id, message](usage_outbox& vm) { vm.on_release(id, message); });
        };
        vms[id] = std::make_unique<usage_outbox>(loop, log.service(), id, settings, peers);
    }

    template <class Call>
    void post(boot_id to, Call call)
    {
        if (std::bernoulli_distribution{message_loss_probability}(random)) {
            return;
        }
        loop.schedule(std::chrono::milliseconds{1}, [this, to, call] {
            if (const auto found = vms.find(to); found != vms.end()) {
                call(*found->second);
            }
        });
    }

    /// Ends a VM's process. @param notify whether the other VMs are notified.
    void kill(boot_id id, bool notify = true)
    {
        vms.erase(id);
        for (const auto& [other, vm] : vms) {
            if (notify) {
                vm->on_member_gone(id);
            }
        }
    }

    bool bill(boot_id id, const std::string& request, bool claimed = false)
    {
        usage_outbox& vm = *vms.at(id);
        if (!vm.reserve()) {
            return false;
        }
        usage_record record;
        record.request = request_id{request};
        record.account = {fleet_name{"colombes"}, client_account_name{"mairie"}};
        record.attempts.push_back({model_name{"m"}, version_name{"1"}, {}, token_count{10}, cost_units{0.5}});
        record.claimed = claimed;
        record.finished = loop.time().wall_now();
        vm.settle(record, [this, request] { ++answered[request]; });
        return true;
    }

    usage_totals totals()
    {
        std::optional<outcome<usage_totals>> result;
        read_usage_totals(log.service(), [&](outcome<usage_totals> read) { result = std::move(read); });
        loop.advance(std::chrono::seconds{1});
        return result.value().value();
    }

    std::uint64_t billed()
    {
        std::uint64_t requests = 0;
        for (const auto& [account, usage] : totals().accounts) {
            requests += usage.requests;
        }
        return requests;
    }

    manual_event_loop loop;
    memory_log log;
    usage_settings settings;
    std::mt19937_64 random;
    double message_loss_probability{0.0};
    std::map<boot_id, std::unique_ptr<usage_outbox>> vms;
    std::map<std::string, int> answered;
};

} // namespace agatespar
