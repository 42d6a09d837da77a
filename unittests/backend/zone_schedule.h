// Simulates the permits of a zone under random faults: delayed, lost and duplicated messages, VMs that crash or pause,
// and server restarts.
#pragma once

#include <agatespar/backend/permit_service.h>
#include <agatespar/membership/rendezvous.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace agatespar {

struct schedule_settings {
    std::size_t vms{8};
    std::uint64_t seed{1};
    std::chrono::seconds length{40};
    double requests_per_second{30};
    bool vms_crash{true};
    bool server_restarts{true};
    bool pauses{true};
    /// Minimum time for which a restarting server is unreachable.
    std::chrono::milliseconds min_downtime{6500};
    permit_owner_settings owner;
};

struct schedule_result {
    /// How often work started on a cold server that was already at its cold limit.
    std::size_t violations{0};
    std::size_t started{0};
    std::size_t refused{0};
    std::size_t vm_crashes{0};
    std::size_t restarts{0};
    std::uint32_t peak_cold{0};
    std::uint32_t peak{0};
};

/// Simulates one backend server with its actual state, and the VMs that send work to it.
class zone_schedule {
public:
    explicit zone_schedule(const schedule_settings& settings) : settings_(settings), random_(settings.seed)
    {
        for (std::size_t index = 0; index < settings.vms; ++index) {
            add_vm();
        }
        for (auto& [boot, vm] : vms_) {
            vm.service->set_servers({backend_server{server, cold_slots, slots, false}}, now_);
        }
        publish_view();
    }

    schedule_result run()
    {
        const steady_time end = now_ + settings_.length;
        next_request_ = now_;
        next_fault_ = now_ + std::chrono::seconds{8};
        while (now_ < end) {
            now_ += std::chrono::milliseconds{10};
            deliver_due();
            for (auto& [boot, vm] : vms_) {
                run_vm(boot, vm);
            }
            while (next_request_ <= now_) {
                next_request_ += random_duration(0, 2'000.0 / settings_.requests_per_second);
                send_request();
            }
            if (now_ >= next_fault_) {
                next_fault_ = now_ + random_duration(1000, 12'000);
                inject_fault();
            }
        }
        return result_;
    }

    static constexpr std::uint32_t cold_slots = 2;
    static constexpr std::uint32_t slots = 12;
    static constexpr std::uint32_t warm_after = 8;
    static constexpr server_key server{42};
    /// Minimum time without messages from a VM before the others consider it failed.
    static constexpr std::chrono::seconds min_detection_delay{4};

private:
    struct vm_state {
        std::unique_ptr<permit_service> service;
        steady_time paused_since;
        steady_time paused_until;
        steady_time next_tick;
        std::uint64_t view{0};
        std::vector<std::function<void()>> deferred_actions;
    };
    struct work {
        boot_id vm;
        permit used;
    };
    struct queued_action {
        steady_time at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const queued_action& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    duration random_duration(double min_ms, double max_ms)
    {
        return std::chrono::microseconds{
            static_cast<std::int64_t>(std::uniform_real_distribution<>{min_ms, max_ms}(random_)*1000)};
    }
    bool chance(double probability) { return std::uniform_real_distribution<>{}(random_) < probability; }
    void schedule_action(duration delay, std::function<void()> action)
    {
        queue_.push({now_ + delay, ++order_, std::move(action)});
    }

    void add_vm()
    {
        const boot_id boot{random_()};
        permit_service_settings settings;
        settings.self = boot;
        settings.owner = settings_.owner;
        vm_state vm;
        vm.service = std::make_unique<permit_service>(
            settings,
            [this, boot](boot_id to, message_kind kind, const std::string& payload) { send(boot, to, kind, payload); });
        vms_[boot] = std::move(vm);
    }

    // Runs an action on a VM: now, or after its pause if it is paused. Does nothing if the VM has crashed.
    void on_vm(boot_id boot, std::function<void()> action)
    {
        const auto found = vms_.find(boot);
        if (found == vms_.end()) {
            return;
        }
        if (now_ < found->second.paused_until) {
            found->second.deferred_actions.push_back(std::move(action));
            return;
        }
        action();
    }

    void send(boot_id from, boot_id to, message_kind kind, const std::string& payload)
    {
        const int copies = from == to ? 1 : chance(0.02) ? 0 : chance(0.02) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            schedule_action(random_duration(0.1, chance(0.05) ? 300 : 5), [this, from, to, kind, payload] {
                on_vm(to,
                      [this, from, to, kind, payload] { vms_.at(to).service->on_message(from, kind, payload, now_); });
            });
        }
    }

    void deliver_due()
    {
        while (!queue_.empty() && queue_.top().at <= now_) {
            const auto action = queue_.top().action;
            queue_.pop();
            action();
        }
    }

    void run_vm(boot_id boot, vm_state& vm)
    {
        if (now_ < vm.paused_until || now_ < vm.next_tick) {
            return;
        }
        for (const auto& action : std::exchange(vm.deferred_actions, {})) {
            action();
        }
        vm.next_tick = now_ + std::chrono::milliseconds{100};
        vm.service->tick(now_);
        for (const server_key key : vm.service->owner().take_due_polls(now_)) {
            poll(boot, key);
        }
    }

    void poll(boot_id boot, server_key key)
    {
        const steady_time polled = now_;
        schedule_action(random_duration(0.1, 50), [this, boot, key, polled] {
            const bool up = now_ >= up_at_;
            load_report report;
            report.start = server_start_id{start_};
            report.running = static_cast<std::uint32_t>(running_.size());
            report.warm = done_ >= warm_after;
            // The report is delayed by `lag`, which the server states as its age.
            const duration lag = random_duration(0, 500);
            report.age = std::chrono::ceil<std::chrono::milliseconds>(lag);
            schedule_action(lag, [this, boot, key, polled, up, report] {
                on_vm(boot, [this, boot, key, polled, up, report] {
                    // on_report subtracts the report's age from the time of the poll.
                    permit_owner& owner = vms_.at(boot).service->owner();
                    up ? owner.on_report(key, report, polled, now_) : owner.on_poll_failed(key, now_);
                });
            });
        });
    }

    void send_request()
    {
        auto chosen = vms_.begin();
        std::advance(chosen, std::uniform_int_distribution<std::size_t>{0, vms_.size() - 1}(random_));
        const boot_id boot = chosen->first;
        if (now_ < chosen->second.paused_until) {
            return;
        }
        if (const auto held = chosen->second.service->try_acquire(server, now_)) {
            start_work(boot, *held);
            return;
        }
        (void)chosen->second.service->request_permit(server, false, now_, [this, boot](outcome<permit> acquired) {
            acquired ? start_work(boot, *acquired) : void(++result_.refused);
        });
    }

    void start_work(boot_id boot, const permit& used)
    {
        // Network latency of the request.
        schedule_action(random_duration(0.1, 20), [this, boot, used] {
            if (now_ < up_at_) {
                finish(boot, used, work_result::refused);
                return;
            }
            const std::uint64_t id = ++last_work_;
            running_[id] = work{boot, used};
            record_start();
            schedule_action(random_duration(20, chance(0.2) ? 5000 : 400), [this, id] { end_work(id); });
        });
    }

    void record_start()
    {
        ++result_.started;
        const auto count = static_cast<std::uint32_t>(running_.size());
        result_.peak = std::max(result_.peak, count);
        if (done_ < warm_after) {
            result_.peak_cold = std::max(result_.peak_cold, count);
            result_.violations += count > cold_slots ? 1 : 0;
        }
    }

    void end_work(std::uint64_t id)
    {
        const auto found = running_.find(id);
        if (found == running_.end()) {
            return;
        }
        const work ended = found->second;
        running_.erase(found);
        ++done_;
        finish(ended.vm, ended.used, work_result::good);
    }

    void finish(boot_id boot, const permit& used, work_result result)
    {
        on_vm(boot, [this, boot, used, result] {
            vms_.at(boot).service->release(used, permit_result{result, 1.0}, now_);
        });
    }

    void inject_fault()
    {
        const double kind = std::uniform_real_distribution<>{}(random_);
        if (kind < 0.2 && settings_.pauses) {
            presume_dead(choose_faulty_vm());
        }
        else if (kind < 0.45 && settings_.vms_crash && vms_.size() > 4) {
            crash_vm(choose_faulty_vm());
        }
        else if (kind < 0.7 && settings_.server_restarts) {
            restart_server();
        }
        else if (settings_.pauses) {
            pause(choose_faulty_vm());
        }
    }

    // Chooses the server's owner with a probability of 60 %, otherwise any VM.
    boot_id choose_faulty_vm()
    {
        auto chosen = vms_.begin();
        const auto owner = chosen->second.service->owner_of_server(server);
        if (owner && vms_.count(*owner) > 0 && chance(0.6)) {
            return *owner;
        }
        std::advance(chosen, std::uniform_int_distribution<std::size_t>{0, vms_.size() - 1}(random_));
        return chosen->first;
    }

    void crash_vm(boot_id boot)
    {
        if (vms_.erase(boot) == 0) {
            return;
        }
        ++result_.vm_crashes;
        // The VM's connections break, and the server cancels its work.
        schedule_action(random_duration(1, 1000), [this, boot] {
            std::erase_if(running_, [boot](const auto& each) { return each.second.vm == boot; });
        });
        schedule_action(random_duration(4000, 8000), [this] { publish_view(); });
        schedule_action(random_duration(5000, 8000), [this, boot] {
            for (auto& [other, vm] : vms_) {
                on_vm(other, [this, other = other, boot] { vms_.at(other).service->on_member_gone(boot, now_); });
            }
        });
    }

    // The other VMs consider a running VM failed until it learns of this and refutes it.
    void presume_dead(boot_id boot)
    {
        presumed_dead_ = boot;
        publish_view();
        for (auto& [other, vm] : vms_) {
            if (other != boot) {
                schedule_action(random_duration(0, 2000), [this, other = other, boot] {
                    on_vm(other, [this, other, boot] { vms_.at(other).service->on_member_gone(boot, now_); });
                });
            }
        }
        schedule_action(random_duration(0, 2000), [this, boot] {
            on_vm(boot, [this, boot] {
                vms_.at(boot).service->on_presumed_dead(now_);
                presumed_dead_.reset();
                publish_view();
            });
        });
    }

    void pause(boot_id boot)
    {
        const duration length = random_duration(200, 12'000);
        vm_state& vm = vms_.at(boot);
        if (now_ < vm.paused_until) {
            return;
        }
        vm.paused_since = now_;
        vm.paused_until = now_ + length;
        if (length > min_detection_delay) {
            // After the pause the VM refutes its failure, and the others receive that.
            schedule_action(random_duration(4000, 5000), [this] { publish_view(); });
            schedule_action(length + random_duration(0, 1000), [this] { publish_view(); });
        }
    }

    // Each VM receives the new view after its own random delay.
    void publish_view()
    {
        std::vector<boot_id> members;
        for (const auto& [boot, vm] : vms_) {
            const bool silent = now_ < vm.paused_until && now_ - vm.paused_since >= min_detection_delay;
            if (!silent && boot != presumed_dead_) {
                members.push_back(boot);
            }
        }
        const std::uint64_t version = ++view_version_;
        for (auto& [boot, vm] : vms_) {
            schedule_action(random_duration(0, 2000), [this, boot = boot, members, version] {
                on_vm(boot, [this, boot, members, version] { apply_view(boot, members, version); });
            });
        }
    }

    void apply_view(boot_id boot, std::vector<boot_id> members, std::uint64_t version)
    {
        vm_state& vm = vms_.at(boot);
        if (std::find(members.begin(), members.end(), boot) == members.end()) {
            // A VM never considers itself failed.
            members.push_back(boot);
        }
        if (version > vm.view) {
            vm.view = version;
            vm.service->set_view(members, true, now_);
        }
    }

    void restart_server()
    {
        ++result_.restarts;
        ++start_;
        done_ = 0;
        const auto min_downtime_ms = static_cast<double>(settings_.min_downtime.count());
        up_at_ = now_ + random_duration(min_downtime_ms, min_downtime_ms + 3000);
        for (const auto& [id, broken] : std::exchange(running_, {})) {
            schedule_action(random_duration(1, 50),
                            [this, broken = broken] { finish(broken.vm, broken.used, work_result::broken); });
        }
    }

    schedule_settings settings_;
    std::mt19937_64 random_;
    steady_time now_{std::chrono::hours{1}};
    std::map<boot_id, vm_state> vms_;
    std::priority_queue<queued_action> queue_;
    std::uint64_t order_{0};
    std::uint64_t view_version_{0};
    std::optional<boot_id> presumed_dead_;
    std::map<std::uint64_t, work> running_;
    std::uint64_t last_work_{0};
    std::uint64_t start_{1};
    std::uint32_t done_{0};
    steady_time up_at_;
    steady_time next_request_;
    steady_time next_fault_;
    schedule_result result_;
};

} // namespace agatespar
