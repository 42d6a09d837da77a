// Simulates a zone of configuration readers on one manual event loop. Each second, every VM sends a heartbeat to a
// random other VM.
#pragma once

#include <agatespar/config/config_reader.h>
#include <agatespar/config/snapshot_store.h>
#include <agatespar/kernel/manual_event_loop.h>
#include <agatespar/platform/memory_log.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace agatespar {

/// Readers whose messages arrive after a millisecond, or are lost while the sender or the receiver is cut off.
class fake_zone {
public:
    struct vm {
        std::unique_ptr<config_reader> reader;
        std::unique_ptr<snapshot_writer> writer;
        bool cut_off{false};
        /// The numbers that were in force on this VM, in this order.
        std::vector<std::uint64_t> numbers;
        /// When each number came into force.
        std::map<std::uint64_t, steady_time> in_force;
        std::uint64_t bytes_in{0};
    };

    fake_zone(manual_event_loop& loop, log_service log, std::uint64_t seed) : loop_(loop), log_(log), random_(seed) {}

    vm& add(bool announcing = true)
    {
        const std::size_t index = vms_.size();
        vms_.push_back(std::make_unique<vm>());
        vm& added = *vms_.back();
        config_reader_settings settings;
        settings.self = boot_id{index + 1};
        config_reader_environment environment;
        environment.log = log_;
        environment.send_pull = [this, index](boot_id peer, const config_pull& pull) { send_pull(index, peer, pull); };
        if (announcing) {
            environment.announce = [this, index](const config_state& state) { announce(index, state); };
        }
        environment.changed = [this, index](const std::shared_ptr<const configuration>& config) {
            vms_[index]->numbers.push_back(config->number.value());
            vms_[index]->in_force.emplace(config->number.value(), loop_.time().now());
        };
        added.reader = std::make_unique<config_reader>(loop_, std::move(environment), settings, random_);
        added.writer = std::make_unique<snapshot_writer>(loop_, log_, *added.reader, writer_settings, random_);
        added.reader->start();
        added.writer->start();
        return added;
    }

    /// Sends one heartbeat from each VM to a random VM. Both receive the other's mark.
    void heartbeat()
    {
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            const std::size_t other = std::uniform_int_distribution<std::size_t>{0, vms_.size() - 1}(random_);
            deliver(i, other, [this, i, other] {
                vms_[other]->reader->handle_peer_mark(vms_[i]->reader->mark());
                deliver(other, i, [this, i, other] { vms_[i]->reader->handle_peer_mark(vms_[other]->reader->mark()); });
            });
        }
    }

    /// Advances the time, with heartbeats each second.
    void run(std::chrono::seconds time)
    {
        for (auto second = std::chrono::seconds::zero(); second < time; second += std::chrono::seconds{1}) {
            heartbeat();
            loop_.advance(std::chrono::seconds{1});
        }
    }

    vm& at(std::size_t index) { return *vms_[index]; }
    std::vector<std::unique_ptr<vm>>& vms() { return vms_; }

    snapshot_writer_settings writer_settings;
    /// The fraction of announcements that are lost.
    double lost_announcements{0.0};

private:
    void deliver(std::size_t from, std::size_t to, std::function<void()> arrive)
    {
        if (from == to || vms_[from]->cut_off || vms_[to]->cut_off) {
            return;
        }
        loop_.schedule(std::chrono::milliseconds{1}, std::move(arrive));
    }

    void send_state(std::size_t from, std::size_t to, const config_state& state)
    {
        deliver(from, to, [this, to, bytes = encode(state)] {
            vms_[to]->bytes_in += bytes.size();
            vms_[to]->reader->handle_state(*decode<config_state>(bytes));
        });
    }

    void send_pull(std::size_t from, boot_id peer, const config_pull& pull)
    {
        const std::size_t to = peer.value() - 1;
        deliver(from, to, [this, from, to, bytes = encode(pull)] {
            vms_[to]->bytes_in += bytes.size();
            send_state(to, from, vms_[to]->reader->answer(*decode<config_pull>(bytes)));
        });
    }

    void announce(std::size_t from, const config_state& state)
    {
        for (std::size_t to = 0; to < vms_.size(); ++to) {
            if (!std::bernoulli_distribution{lost_announcements}(random_)) {
                send_state(from, to, state);
            }
        }
    }

    manual_event_loop& loop_;
    log_service log_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<vm>> vms_;
};

} // namespace agatespar
