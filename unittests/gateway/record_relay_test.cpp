// Tests of VMs that read the store for each other, on a manual loop: readers die, are cut off, or lose the store.
#include <agatespar/gateway/record_relay.h>
#include <agatespar/kernel/manual_event_loop.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace agatespar;
using namespace std::chrono_literals;

namespace {

constexpr auto store_latency = 4ms;
constexpr auto link_latency = 1ms;

/// The store's topics, and the reads that wait for a record.
struct shared_store {
    struct waiting {
        std::size_t topic;
        std::uint64_t from;
        std::function<void()> answer;
    };

    manual_event_loop& loop;
    std::array<std::vector<keyed_record>, fleet_topics> topics;
    std::vector<waiting> reads;
    bool down{false};

    void write(std::size_t topic, const std::string& key, std::optional<std::string> value)
    {
        topics[topic].push_back({key, std::move(value), topics[topic].size()});
        std::vector<waiting> due;
        std::erase_if(reads, [&](waiting& read) {
            const bool wakes = read.topic == topic;
            if (wakes) {
                due.push_back(std::move(read));
            }
            return wakes;
        });
        for (const waiting& read : due) {
            loop.schedule(store_latency, read.answer);
        }
    }
};

/// One VM: its followers, its relay, and what it was told.
struct vm {
    listed_vm self;
    fleet_store store{};
    std::array<std::unique_ptr<topic_follower>, fleet_topics> followers;
    std::unique_ptr<record_relay> relay;
    peer_receiver receiver;
    std::map<std::string, std::string> values;
    int last_order{0};
    bool went_back{false};
    int calls{0};
    /// The store does not answer this VM, or turns it away.
    bool cut{false};
    bool refused{false};
    bool running{false};
};

struct fleet {
    manual_event_loop loop;
    shared_store store{loop, {}, {}, false};
    std::vector<std::unique_ptr<vm>> vms;
    /// Links that lose everything, by the numbers of both VMs.
    std::function<bool(std::size_t, std::size_t)> is_cut{[](std::size_t, std::size_t) { return false; }};

    explicit fleet(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            vms.push_back(std::make_unique<vm>());
            vms[i]->self = {"vm-" + std::to_string(i), zone_name{"zone-" + std::to_string(i % 4)}, address_of(i), 100,
                            1};
            make_store(i);
            start(i);
        }
    }
    ~fleet()
    {
        for (std::size_t i = 0; i < vms.size(); ++i) {
            kill(i);
        }
    }
    static std::string address_of(std::size_t i) { return "10.0.0." + std::to_string(i) + ":1"; }
    std::size_t number_of(const std::string& address) const
    {
        const auto found =
            std::find_if(vms.begin(), vms.end(), [&](const auto& each) { return each->self.address == address; });
        return static_cast<std::size_t>(found - vms.begin());
    }
    template <class Result>
    void answer(vm& caller, const fleet_store::callback<Result>& callback, std::function<outcome<Result>()> result)
    {
        if (caller.cut) {
            // As when a call is given up.
            loop.schedule(2s, [callback] { callback(failure(error_code::deadline_exceeded, "cut off")); });
            return;
        }
        loop.schedule(store_latency, [this, &caller, callback, result = std::move(result)] {
            if (caller.refused || store.down) {
                callback(failure(error_code::unavailable, "turned away"));
                return;
            }
            callback(result());
        });
    }
    void make_store(std::size_t i)
    {
        vm& caller = *vms[i];
        caller.store.read_newest = [this, &caller](fleet_topic topic, const std::string&,
                                                   const fleet_store::callback<newest_page>& callback) {
            ++caller.calls;
            answer<newest_page>(caller, callback, [this, topic] {
                std::map<std::string, keyed_record> newest;
                for (const keyed_record& record : store.topics[static_cast<std::size_t>(topic)]) {
                    newest[record.key] = record;
                }
                newest_page page;
                for (const auto& [key, record] : newest) {
                    if (record.value) {
                        page.records.push_back(record);
                    }
                }
                return page;
            });
        };
        caller.store.read_from = [this, &caller](fleet_topic topic, std::uint64_t from, std::chrono::milliseconds wait,
                                                 const fleet_store::callback<log_stretch>& callback) {
            ++caller.calls;
            const auto number = static_cast<std::size_t>(topic);
            const auto stretch = [this, number, from] {
                log_stretch read;
                read.end = store.topics[number].size();
                for (std::uint64_t at = from; at < read.end; ++at) {
                    read.records.push_back(store.topics[number][at]);
                }
                return read;
            };
            if (caller.cut || caller.refused || store.down || from < store.topics[number].size() || wait == 0ms) {
                answer<log_stretch>(caller, callback, stretch);
                return;
            }
            hold_read(caller, number, from, wait, callback, stretch);
        };
        caller.store.append = [this, &caller](fleet_topic topic, const keyed_record& record,
                                              std::optional<std::uint64_t> expected_end,
                                              const std::function<void(append_result)>& callback) {
            ++caller.calls;
            const auto number = static_cast<std::size_t>(topic);
            loop.schedule(store_latency, [this, &caller, number, record, expected_end, callback] {
                if (caller.cut || caller.refused || store.down) {
                    callback(append_result::refused);
                    return;
                }
                if (expected_end && *expected_end != store.topics[number].size()) {
                    callback(append_result::conflict);
                    return;
                }
                store.write(number, record.key, record.value);
                callback(append_result::done);
            });
        };
    }
    template <class Stretch>
    void hold_read(vm& caller, std::size_t topic, std::uint64_t from, std::chrono::milliseconds wait,
                   const fleet_store::callback<log_stretch>& callback, const Stretch& stretch)
    {
        auto once = std::make_shared<bool>(false);
        const auto finish = [&caller, callback, stretch, once] {
            // A VM that was cut off meanwhile hears nothing of it; its own time for the call is over later.
            if (!caller.cut && !std::exchange(*once, true)) {
                callback(stretch());
            }
        };
        store.reads.push_back({topic, from, finish});
        loop.schedule(wait + store_latency, finish);
        loop.schedule(wait + 2s, [callback, once] {
            if (!std::exchange(*once, true)) {
                callback(failure(error_code::deadline_exceeded, "cut off"));
            }
        });
    }
    void start(std::size_t i)
    {
        vm& started = *vms[i];
        started.running = true;
        started.values.clear();
        record_relay::follower_set followers{};
        for (std::size_t topic = 0; topic < fleet_topics; ++topic) {
            follower_callbacks callbacks;
            callbacks.changed = [this, i, topic](const keyed_record& record) { take(i, topic, record); };
            callbacks.complete = [this, i] { vms[i]->relay->note_complete(); };
            callbacks.reachable = [](bool, const std::string&) {};
            follower_settings settings;
            settings.topic = static_cast<fleet_topic>(topic);
            settings.wait = topic == 0 ? 1000ms : 30'000ms;
            started.followers[topic] = std::make_unique<topic_follower>(loop, started.store, settings, callbacks);
            followers[topic] = started.followers[topic].get();
        }
        relay_settings settings;
        settings.self = started.self;
        started.relay =
            std::make_unique<record_relay>(loop, started.store, settings, followers,
                                           [this, i](const std::string&, peer_receiver receiver) -> outcome<peer_link> {
                                               vms[i]->receiver = std::move(receiver);
                                               return make_link(i);
                                           });
        started.relay->start();
    }
    peer_link make_link(std::size_t from)
    {
        peer_link link;
        link.address = address_of(from);
        link.forget = [](const std::string&) {};
        link.send = [this, from](const std::string& address, message_kind kind, const std::string& payload) {
            const std::size_t to = number_of(address);
            if (to == vms.size() || is_cut(from, to)) {
                return true;
            }
            loop.schedule(link_latency, [this, from, to, kind, payload] {
                if (vms[to]->receiver) {
                    vms[to]->receiver(address_of(from), kind, payload);
                }
            });
            return true;
        };
        return link;
    }
    void take(std::size_t i, std::size_t topic, const keyed_record& record)
    {
        vm& one = *vms[i];
        if (topic == static_cast<std::size_t>(fleet_topic::vms)) {
            one.relay->take_vm_record(record);
        }
        else if (record.value) {
            one.values[record.key] = *record.value;
        }
        else {
            one.values.erase(record.key);
        }
        if (record.key == "order" && record.value) {
            const int order = std::stoi(*record.value);
            one.went_back = one.went_back || order < one.last_order;
            one.last_order = order;
        }
        one.relay->note_change();
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
    /// @return running VMs that the order has not reached.
    std::size_t behind(int order) const
    {
        return static_cast<std::size_t>(std::count_if(
            vms.begin(), vms.end(), [order](const auto& each) { return each->running && each->last_order < order; }));
    }
};

} // namespace

SCENARIO("a few VMs read the store, and what they read reaches all within milliseconds")
{
    const std::size_t count = GENERATE(1U, 2U, 9U, 83U);
    CAPTURE(count);
    fleet test{count};
    test.order(1);
    test.loop.advance(10s);
    CHECK(test.behind(1) == 0);
    CHECK(test.readers().size() == std::min(count, reader_count(count)));
    std::map<std::size_t, int> calls;
    for (std::size_t i = 0; i < count; ++i) {
        calls[i] = test.vms[i]->calls;
        CHECK(test.vms[i]->relay->vms() == count);
    }
    test.order(2);
    test.loop.advance(store_latency + relay_settings{}.gather_time + link_latency + 1ms);
    CHECK(test.behind(2) == 0);
    test.loop.advance(20s);
    const auto readers = test.readers();
    for (std::size_t i = 0; i < count; ++i) {
        // Those that do not read call the store no more, however long it takes.
        CHECK((readers.contains(i) || test.vms[i]->calls == calls[i]));
    }
}

SCENARIO("whatever happens to a reader, orders are known within the operators' two seconds")
{
    fleet test{40};
    test.order(1);
    test.loop.advance(10s);
    const auto readers = test.readers();
    REQUIRE(readers.size() == reader_count(40));
    const std::size_t victim = *readers.begin();

    SECTION("it dies")
    {
        test.kill(victim);
    }
    SECTION("all readers but one die at once")
    {
        for (const std::size_t reader : readers) {
            if (reader != victim) {
                test.kill(reader);
            }
        }
    }
    SECTION("all readers die at once")
    {
        for (const std::size_t reader : readers) {
            test.kill(reader);
        }
    }
    SECTION("the store no longer answers it, and it does not know")
    {
        test.vms[victim]->cut = true;
    }
    SECTION("the store turns it away")
    {
        test.vms[victim]->refused = true;
    }
    SECTION("it is cut off from the other VMs")
    {
        test.is_cut = [victim](std::size_t a, std::size_t b) { return a == victim || b == victim; };
    }
    SECTION("its answers are lost, though it hears the others")
    {
        test.is_cut = [victim](std::size_t a, std::size_t) { return a == victim; };
    }
    SECTION("no VM hears any other")
    {
        test.is_cut = [](std::size_t, std::size_t) { return true; };
    }
    test.loop.advance(1ms);
    test.order(2);
    test.loop.advance(1995ms);
    const bool excused = test.vms[victim]->cut || test.vms[victim]->refused;
    CHECK(test.behind(2) <= (excused ? 1U : 0U));
}

SCENARIO("a VM that the store turns away learns from the others")
{
    fleet test{12};
    test.order(1);
    test.loop.advance(10s);
    for (std::size_t i = 0; i < test.vms.size(); ++i) {
        test.vms[i]->refused = i % 3 != 0;
    }
    test.loop.advance(10s);
    test.order(2);
    test.loop.advance(1s);
    CHECK(test.behind(2) == 0);
}

SCENARIO("a VM that starts with an empty memory learns all from the readers, for two calls of the store")
{
    fleet test{20};
    test.order(1);
    test.store.write(1, "i-1", "ready");
    test.loop.advance(10s);
    const auto readers = test.readers();
    std::size_t other = 0;
    while (readers.contains(other)) {
        ++other;
    }
    test.kill(other);
    test.store.write(1, "i-2", "ready");
    test.store.write(1, "i-1", std::nullopt);
    test.loop.advance(3s);
    test.vms[other]->calls = 0;
    test.start(other);
    test.loop.advance(1s);
    CHECK(test.vms[other]->values == std::map<std::string, std::string>{{"order", "1"}, {"i-2", "ready"}});
    CHECK(!test.vms[other]->relay->reads_store());
    CHECK(test.vms[other]->calls <= 2);
}

SCENARIO("while the store is away VMs look for what matters, and for all of it afterwards")
{
    // Pattern: every VM of a large fleet asks a store that is down, for each topic.
    fleet test{20};
    test.order(1);
    test.loop.advance(10s);
    test.store.down = true;
    for (const auto& each : test.vms) {
        each->calls = 0;
    }
    test.loop.advance(10s);
    constexpr int leading_topics = 2;
    // Pauses of 0.1, 0.2, 0.4 and 0.8 s, then of a second each. The other topics are tried once, as the outage begins.
    constexpr int tries_of_one = 14;
    constexpr int other_topics = 3;
    for (const auto& each : test.vms) {
        CHECK(each->calls <= leading_topics * tries_of_one + other_topics);
    }
    test.store.write(static_cast<std::size_t>(fleet_topic::evidence), "vm-1/one", "bad");
    test.store.down = false;
    test.loop.advance(1500ms);
    for (const auto& each : test.vms) {
        CHECK(each->values.contains("vm-1/one"));
    }
    test.loop.advance(3 * relay_settings{}.longest_silence);
    for (const auto& each : test.vms) {
        for (const auto& follower : each->followers) {
            CHECK(follower->is_reachable());
        }
    }
}

SCENARIO("VMs that all lost power know everything again a tenth of a second after they start")
{
    // Pattern: traffic goes on meanwhile, and each request until then is refused.
    fleet test{9};
    test.order(1);
    test.loop.advance(10s);
    for (std::size_t i = 0; i < test.vms.size(); ++i) {
        test.kill(i);
    }
    test.loop.advance(1s);
    for (std::size_t i = 0; i < test.vms.size(); ++i) {
        test.start(i);
        test.loop.advance(5ms);
    }
    test.loop.advance(55ms);
    CHECK(test.behind(1) == 0);
}

SCENARIO("after any faults all VMs know the same, and none went back to an older order")
{
    const int seed = GENERATE(range(1, 41));
    CAPTURE(seed);
    std::mt19937_64 random{static_cast<std::uint64_t>(seed)};
    const auto draw = [&random](std::size_t below) {
        return std::uniform_int_distribution<std::size_t>{0, below - 1}(random);
    };
    fleet test{10};
    int order = 0;
    for (int step = 0; step < 60; ++step) {
        vm& one = *test.vms[draw(10)];
        switch (draw(9)) {
        case 0:
            test.kill(draw(10));
            break;
        case 1:
        case 2:
            if (const std::size_t i = draw(10); !test.vms[i]->running) {
                test.start(i);
            }
            break;
        case 3:
            one.cut = !one.cut;
            break;
        case 4:
            one.refused = !one.refused;
            break;
        case 5:
            test.store.down = !test.store.down;
            break;
        case 6: {
            const std::size_t side = draw(10);
            test.is_cut = [side](std::size_t a, std::size_t b) { return (a < side) != (b < side); };
            break;
        }
        case 7:
            test.store.write(1, "i-" + std::to_string(draw(4)),
                             draw(3) == 0 ? std::nullopt : std::optional{std::to_string(step)});
            break;
        default:
            test.order(++order);
        }
        test.loop.advance(std::chrono::milliseconds{50 * draw(20)});
    }
    test.order(++order);
    test.store.down = false;
    test.is_cut = [](std::size_t, std::size_t) { return false; };
    for (std::size_t i = 0; i < 10; ++i) {
        test.vms[i]->cut = test.vms[i]->refused = false;
        if (!test.vms[i]->running) {
            test.start(i);
        }
    }
    test.loop.advance(15s);
    std::map<std::string, std::string> expected;
    for (std::size_t topic : {0U, 1U}) {
        for (const keyed_record& record : test.store.topics[topic]) {
            if (record.value) {
                expected[record.key] = *record.value;
            }
            else {
                expected.erase(record.key);
            }
        }
    }
    for (const auto& each : test.vms) {
        CHECK(each->values == expected);
        CHECK(!each->went_back);
    }
    // Readers that were left are asked again after a while.
    test.loop.advance(2 * relay_settings{}.longest_silence);
    CHECK(test.readers().size() == reader_count(10));
}

SCENARIO("hostile messages of peers change nothing")
{
    fleet test{3};
    test.order(1);
    test.loop.advance(10s);
    for (const auto& each : test.vms) {
        each->receiver("10.0.0.9:1", message_kind::records_news, "\xc1");
        each->receiver("10.0.0.9:1", message_kind::records_pull, "");
        each->receiver("10.0.0.9:1", message_kind::probe, "x");
        // Topics that there are not, and news of a VM that was not asked.
        each->receiver("10.0.0.9:1", message_kind::records_pull, encode(records_pull{{{99, true, 0}}, true, true}));
        each->receiver("10.0.0.9:1", message_kind::records_news,
                       encode(records_news{true, 0, {{0, true, 0, 99, {{"order", false, "7", 98}}}}}));
    }
    test.loop.advance(1s);
    CHECK(test.behind(1) == 0);
    CHECK(std::all_of(test.vms.begin(), test.vms.end(), [](const auto& each) { return each->last_order == 1; }));
}
