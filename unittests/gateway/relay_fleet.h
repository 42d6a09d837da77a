// A simulated fleet of VMs with a store and network links on a manual event loop, for tests of record_relay.
#pragma once

#include <agatespar/gateway/record_relay.h>
#include <agatespar/kernel/manual_event_loop.h>
#include <agatespar/wire/transport.h>

#include <algorithm>
#include <set>

namespace agatespar::relay_test {

using namespace std::chrono_literals;

inline constexpr auto store_latency = 4ms;
inline constexpr auto link_latency = 1ms;
/// Overhead of a message: authentication, addresses, and the headers of TCP and IP.
inline constexpr std::size_t frame_bytes = 150;

/// The topics of the simulated store, and the long-polling reads that wait for a record.
struct shared_store {
    struct pending_read {
        std::size_t topic;
        std::uint64_t from;
        std::function<void()> answer;
    };

    manual_event_loop& loop;
    std::array<std::vector<keyed_record>, fleet_topic_count> topics;
    std::vector<pending_read> reads;
    bool down{false};
    store_era era{1};

    /// Comes back from a copy that lacks the last records of each topic. The newest lost record of each key of
    /// operators and servers is written again.
    void restore(std::size_t lost_records)
    {
        era = store_era{era.value() + 1};
        for (std::size_t topic = 0; topic < fleet_topic_count; ++topic) {
            std::vector<keyed_record>& records = topics[topic];
            const auto kept = static_cast<std::ptrdiff_t>(records.size() - std::min(lost_records, records.size()));
            std::map<std::string, keyed_record> lost;
            for (auto each = records.begin() + kept; each != records.end(); ++each) {
                lost[each->key] = *each;
            }
            records.erase(records.begin() + kept, records.end());
            for (const auto& [key, record] : lost) {
                if (topic < 2) {
                    records.push_back({key, record.value, records.size()});
                }
            }
        }
        down = false;
    }
    /// Makes the store unavailable; reads that wait for a record fail.
    void stop()
    {
        down = true;
        for (const pending_read& read : std::exchange(reads, {})) {
            loop.schedule(store_latency, read.answer);
        }
    }
    void write(std::size_t topic, const std::string& key, std::optional<std::string> value)
    {
        topics[topic].push_back({key, std::move(value), topics[topic].size()});
        std::vector<pending_read> due;
        std::erase_if(reads, [&](pending_read& read) {
            const bool wakes = read.topic == topic;
            if (wakes) {
                due.push_back(std::move(read));
            }
            return wakes;
        });
        for (const pending_read& read : due) {
            loop.schedule(store_latency, read.answer);
        }
    }
};

/// One VM: its followers, its relay, and the records that it has received.
struct vm {
    listed_vm self;
    fleet_store store{};
    std::array<std::unique_ptr<topic_follower>, fleet_topic_count> followers;
    std::unique_ptr<record_relay> relay;
    peer_receiver receiver;
    std::map<std::string, std::string> values;
    int last_order{0};
    bool order_regressed{false};
    int calls{0};
    /// The store does not answer this VM, or answers its calls with a refusal.
    bool store_unreachable{false};
    bool refused{false};
    bool running{false};
    std::uint64_t starts{0};
    /// When it has processed all received messages.
    steady_time busy_until;
    /// When its link has sent, and has received, all messages in flight.
    steady_time sends_until;
    steady_time receives_until;
    std::size_t bytes_sent{0};
    /// Frames that its link did not take, as they are too large.
    int refused_frames{0};
    /// Maximum number of bytes queued for its link.
    std::size_t max_queued_bytes{0};
    /// When contact with the store was last lost, by topic, and the keys that were deleted before it was restored.
    std::array<std::optional<steady_time>, fleet_topic_count> lost_at{};
    std::set<std::string> deleted_while_unreachable;
    /// Number of calls of the store, by topic.
    std::array<int, fleet_topic_count> calls_by_topic{};
};

struct fleet {
    manual_event_loop loop;
    shared_store store{loop, {}, {}, false};
    std::vector<std::unique_ptr<vm>> vms;
    /// Whether messages from one VM to another are lost, by the indices of sender and receiver.
    std::function<bool(std::size_t, std::size_t)> is_link_cut{[](std::size_t, std::size_t) { return false; }};

    /// Processing time of a VM per received byte.
    duration time_per_byte{0};
    /// How often the first VM of a pair has closed its connection to the second.
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> dropped;
    /// Settings of all VMs, except for `self`.
    relay_settings relay;
    /// All VMs start for the first time, with an empty list of VMs.
    bool first_start{false};

    explicit fleet(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            add(i, "zone-" + std::to_string(i % 4), 100);
            start(i);
        }
    }
    fleet() = default;
    void add(std::size_t i, const std::string& zone, double link_mbps)
    {
        vms.push_back(std::make_unique<vm>());
        vms[i]->self = {"vm-" + std::to_string(i), zone_name{zone}, address_of(i), link_mbps, 1};
        make_store(i);
    }
    ~fleet()
    {
        for (std::size_t i = 0; i < vms.size(); ++i) {
            kill(i);
        }
    }
    static std::string address_of(std::size_t i) { return "10.0.0." + std::to_string(i) + ":1"; }
    std::size_t index_of(const std::string& address) const
    {
        const auto found =
            std::find_if(vms.begin(), vms.end(), [&](const auto& each) { return each->self.address == address; });
        return static_cast<std::size_t>(found - vms.begin());
    }
    template <class Result>
    void answer(vm& caller, const fleet_store::callback<Result>& callback, std::function<outcome<Result>()> result)
    {
        if (caller.store_unreachable) {
            // As when the call times out.
            loop.schedule(2s, [callback] { callback(failure(error_code::deadline_exceeded, "call timed out")); });
            return;
        }
        loop.schedule(store_latency, [this, &caller, callback, result = std::move(result)] {
            if (caller.refused || store.down) {
                callback(failure(error_code::unavailable, "store refused the call"));
                return;
            }
            callback(result());
        });
    }
    static void count_call(vm& caller, fleet_topic topic)
    {
        ++caller.calls;
        ++caller.calls_by_topic[static_cast<std::size_t>(topic)];
    }
    void make_store(std::size_t i)
    {
        vm& caller = *vms[i];
        caller.store.read_newest = [this, &caller](fleet_topic topic, const std::string&,
                                                   const fleet_store::callback<newest_page>& callback) {
            count_call(caller, topic);
            answer<newest_page>(caller, callback, [this, topic] {
                std::map<std::string, keyed_record> newest;
                for (const keyed_record& record : store.topics[static_cast<std::size_t>(topic)]) {
                    newest[record.key] = record;
                }
                newest_page page;
                page.era = store.era;
                for (const auto& [key, record] : newest) {
                    if (record.value) {
                        page.records.push_back(record);
                    }
                }
                return page;
            });
        };
        caller.store.read_from = [this, &caller](fleet_topic topic, std::uint64_t from, std::chrono::milliseconds wait,
                                                 const fleet_store::callback<log_range>& callback) {
            count_call(caller, topic);
            const auto number = static_cast<std::size_t>(topic);
            const auto stretch = [this, number, from] {
                log_range read;
                read.era = store.era;
                read.end = store.topics[number].size();
                read.lost = from > read.end;
                for (std::uint64_t at = from; at < read.end; ++at) {
                    read.records.push_back(store.topics[number][at]);
                }
                return read;
            };
            if (caller.store_unreachable || caller.refused || store.down || from != store.topics[number].size() ||
                wait == 0ms) {
                answer<log_range>(caller, callback, stretch);
                return;
            }
            hold_read(caller, number, from, wait, callback, stretch);
        };
        caller.store.append = [this, &caller](fleet_topic topic, const std::vector<keyed_record>& records,
                                              std::optional<std::uint64_t> expected_end,
                                              const std::function<void(append_result)>& callback) {
            count_call(caller, topic);
            const auto number = static_cast<std::size_t>(topic);
            loop.schedule(store_latency, [this, &caller, number, records, expected_end, callback] {
                if (caller.store_unreachable || caller.refused || store.down) {
                    callback(append_result::refused);
                    return;
                }
                if (expected_end && *expected_end != store.topics[number].size()) {
                    callback(append_result::conflict);
                    return;
                }
                for (const keyed_record& record : records) {
                    store.write(number, record.key, record.value);
                }
                callback(append_result::done);
            });
        };
    }
    template <class Stretch>
    void hold_read(vm& caller, std::size_t topic, std::uint64_t from, std::chrono::milliseconds wait,
                   const fleet_store::callback<log_range>& callback, const Stretch& stretch)
    {
        auto once = std::make_shared<bool>(false);
        const auto finish = [this, &caller, callback, stretch, once] {
            // A VM that was isolated from the store meanwhile gets no answer; its call times out later.
            if (!caller.store_unreachable && !std::exchange(*once, true)) {
                callback(store.down ? failure(error_code::unavailable, "down") : outcome<log_range>{stretch()});
            }
        };
        store.reads.push_back({topic, from, finish});
        loop.schedule(wait + store_latency, finish);
        loop.schedule(wait + 2s, [callback, once] {
            if (!std::exchange(*once, true)) {
                callback(failure(error_code::deadline_exceeded, "call timed out"));
            }
        });
    }
    void start(std::size_t i)
    {
        vm& started = *vms[i];
        started.running = true;
        ++started.starts;
        started.sends_until = started.receives_until = started.busy_until = {};
        started.values.clear();
        record_relay::follower_set followers{};
        for (std::size_t topic = 0; topic < fleet_topic_count; ++topic) {
            follower_callbacks callbacks;
            callbacks.changed = [this, i, topic](const keyed_record& record) { apply_record(i, topic, record); };
            callbacks.complete = [this, i] { vms[i]->relay->on_topic_complete(); };
            callbacks.reachable = [this, i, topic](bool reachable, const std::string&, steady_time since) {
                if (!reachable) {
                    vms[i]->lost_at[topic] = since;
                }
            };
            follower_settings settings;
            settings.topic = static_cast<fleet_topic>(topic);
            settings.wait = topic == 0 ? 1000ms : 30'000ms;
            settings.starts_empty = first_start && settings.topic == fleet_topic::vms;
            started.followers[topic] = std::make_unique<topic_follower>(loop, started.store, settings, callbacks);
            followers[topic] = started.followers[topic].get();
        }
        relay_settings settings = relay;
        settings.self = started.self;
        started.relay =
            std::make_unique<record_relay>(loop, started.store, settings, followers,
                                           [this, i](const std::string&, peer_receiver receiver) -> outcome<peer_link> {
                                               vms[i]->receiver = std::move(receiver);
                                               return make_link(i);
                                           });
        started.relay->start();
    }
    /// Adds a message to the queue of a VM's link. @return the time until the link has transmitted it.
    duration occupy_link(vm& one, steady_time& busy_until, std::size_t payload)
    {
        const steady_time now = loop.time().now();
        const double bytes_per_ns = one.self.link_mbps / 8000;
        const auto time = std::chrono::nanoseconds{
            static_cast<std::int64_t>(static_cast<double>(payload + frame_bytes) / bytes_per_ns)};
        busy_until = std::max(busy_until, now) + time;
        const double queued = static_cast<double>((busy_until - now).count()) * bytes_per_ns;
        one.max_queued_bytes = std::max(one.max_queued_bytes, static_cast<std::size_t>(queued));
        return busy_until - now;
    }
    /// Delivers a message once the VM has processed the earlier ones. Processing time grows with the size.
    void deliver(std::size_t from, std::size_t to, message_kind kind, const std::string& payload)
    {
        vm& one = *vms[to];
        const steady_time now = loop.time().now();
        if (now < one.busy_until) {
            loop.schedule(one.busy_until - now, [this, from, to, kind, payload, start = one.starts] {
                if (vms[to]->starts == start) {
                    deliver(from, to, kind, payload);
                }
            });
            return;
        }
        one.busy_until = now + time_per_byte * static_cast<std::int64_t>(payload.size());
        if (one.receiver) {
            one.receiver(address_of(from), kind, payload);
        }
    }
    peer_link make_link(std::size_t from)
    {
        peer_link link;
        link.address = address_of(from);
        // Messages in flight on a closed connection are lost.
        link.forget = [this, from](const std::string& address) { ++dropped[{from, index_of(address)}]; };
        link.send = [this, from](const std::string& address, message_kind kind, const std::string& payload) {
            const std::size_t to = index_of(address);
            if (to == vms.size() || is_link_cut(from, to)) {
                return true;
            }
            if (payload.size() + frame_bytes > max_frame_bytes) {
                ++vms[from]->refused_frames;
                return false;
            }
            vms[from]->bytes_sent += payload.size() + frame_bytes;
            const duration sent = occupy_link(*vms[from], vms[from]->sends_until, payload.size());
            const duration taken = occupy_link(*vms[to], vms[to]->receives_until, payload.size());
            const std::uint64_t start = vms[to]->starts;
            const std::uint64_t drops = dropped[{from, to}];
            loop.schedule(link_latency + std::max(sent, taken), [this, from, to, kind, payload, start, drops] {
                if (vms[to]->starts == start && dropped[{from, to}] == drops) {
                    deliver(from, to, kind, payload);
                }
            });
            return true;
        };
        return link;
    }
    void apply_record(std::size_t i, std::size_t topic, const keyed_record& record)
    {
        vm& one = *vms[i];
        if (topic == static_cast<std::size_t>(fleet_topic::vms)) {
            one.relay->apply_vm_record(record);
        }
        else if (record.value) {
            one.values[record.key] = *record.value;
        }
        else {
            one.values.erase(record.key);
            if (!one.followers[topic]->is_reachable()) {
                one.deleted_while_unreachable.insert(record.key);
            }
        }
        if (record.key == "order" && record.value) {
            const int order = std::stoi(*record.value);
            one.order_regressed = one.order_regressed || order < one.last_order;
            one.last_order = order;
        }
        one.relay->schedule_push();
    }
    void kill(std::size_t i)
    {
        vms[i]->running = false;
        vms[i]->receiver = nullptr;
        vms[i]->relay.reset();
        for (auto& follower : vms[i]->followers) {
            follower.reset();
        }
        vms[i]->last_order = 0;
    }
    void order(int number) { store.write(0, "order", std::to_string(number)); }
    std::set<std::size_t> readers() const
    {
        std::set<std::size_t> found;
        for (std::size_t i = 0; i < vms.size(); ++i) {
            if (vms[i]->running && vms[i]->relay->reads_store()) {
                found.insert(i);
            }
        }
        return found;
    }
    /// @return the number of running VMs that the order has not reached.
    std::size_t vms_behind(int order) const
    {
        return static_cast<std::size_t>(std::count_if(
            vms.begin(), vms.end(), [order](const auto& each) { return each->running && each->last_order < order; }));
    }
    /// @return the number of calls of the store by all VMs.
    int calls() const
    {
        int sum = 0;
        for (const auto& each : vms) {
            sum += each->calls;
        }
        return sum;
    }
    /// @return the number of calls by topic, for the message of a failing test.
    std::string describe_calls() const
    {
        std::string text;
        for (std::size_t topic = 0; topic < fleet_topic_count; ++topic) {
            int sum = 0;
            for (const auto& each : vms) {
                sum += each->calls_by_topic[topic];
            }
            text += std::to_string(sum) + " ";
        }
        return text;
    }
    /// @return the number of running VMs that lack records of a topic that the store has.
    std::size_t vms_lacking(std::size_t topic) const
    {
        std::map<std::string, std::string> expected;
        for (const keyed_record& record : store.topics[topic]) {
            if (record.value) {
                expected[record.key] = *record.value;
            }
            else {
                expected.erase(record.key);
            }
        }
        return static_cast<std::size_t>(std::count_if(vms.begin(), vms.end(), [&](const auto& each) {
            return each->running &&
                   !std::includes(each->values.begin(), each->values.end(), expected.begin(), expected.end());
        }));
    }
};

} // namespace agatespar::relay_test
