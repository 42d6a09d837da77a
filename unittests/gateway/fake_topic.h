// A keyed topic of the store in memory, and a recorder of what a follower reports, for tests of topic_follower.
#pragma once

#include <agatespar/gateway/topic_follower.h>
#include <agatespar/kernel/manual_event_loop.h>

#include <map>

namespace agatespar::follower_test {

using namespace std::chrono_literals;

/// A keyed topic in memory whose answers the test can delay or make fail.
struct fake_topic {
    manual_event_loop loop;
    fleet_store store{};
    std::vector<keyed_record> log;
    std::uint64_t first{0};
    std::size_t page_size{2};
    bool down{false};
    int calls{0};
    std::vector<std::chrono::milliseconds> waits;
    std::function<void()> held_read;
    int held_count{0};
    duration latency{0};
    /// What the answers state; nothing if the store states no era.
    std::optional<store_era> era;
    /// A write does not complete the reads that are held open.
    bool skips_wakeups{false};
    std::function<void()> after_first_page;

    fake_topic()
    {
        store.read_newest = [this](fleet_topic, const std::string& after,
                                   const fleet_store::callback<newest_page>& callback) {
            ++calls;
            loop.schedule(1ms, [this, after, callback] { callback(newest(after)); });
        };
        store.read_from = [this](fleet_topic, std::uint64_t from, std::chrono::milliseconds wait,
                                 const fleet_store::callback<log_range>& callback) {
            ++calls;
            waits.push_back(wait);
            answer_read(from, wait, callback);
        };
    }
    void answer_read(std::uint64_t from, std::chrono::milliseconds wait,
                     const fleet_store::callback<log_range>& callback)
    {
        if (!down && from >= log.size() && wait > 0ms) {
            const int read = ++held_count;
            held_read = [this, from, callback] { answer_read(from, 0ms, callback); };
            loop.schedule(wait + latency, [this, read] {
                if (held_read && held_count == read) {
                    std::exchange(held_read, nullptr)();
                }
            });
            return;
        }
        loop.schedule(1ms, [this, from, callback] { callback(read_range(from)); });
    }
    outcome<newest_page> newest(const std::string& after)
    {
        if (down) {
            return failure(error_code::unavailable, "down");
        }
        std::map<std::string, keyed_record> newest;
        for (std::size_t i = 0; i < log.size(); ++i) {
            newest[log[i].key] = {log[i].key, log[i].value, i};
        }
        newest_page page;
        page.era = era;
        for (const auto& [key, record] : newest) {
            if (!record.value || key <= after) {
                continue;
            }
            if (page.records.size() == page_size) {
                page.more = true;
                break;
            }
            page.records.push_back(record);
        }
        if (after.empty() && after_first_page) {
            std::exchange(after_first_page, nullptr)();
        }
        return page;
    }
    outcome<log_range> read_range(std::uint64_t from)
    {
        if (down) {
            return failure(error_code::unavailable, "down");
        }
        log_range read;
        read.era = era;
        read.lost = from < first || from > log.size();
        read.first = first;
        for (std::uint64_t i = from; i < log.size() && !read.lost; ++i) {
            read.records.push_back({log[i].key, log[i].value, i});
        }
        read.end = log.size();
        return read;
    }
    /// Comes back from a copy that lacks the records from an offset on.
    void restore(std::uint64_t copy_end)
    {
        log.resize(copy_end);
        first = std::min(first, copy_end);
        if (era) {
            era = store_era{era->value() + 1};
        }
        if (held_read) {
            std::exchange(held_read, nullptr)();
        }
    }
    /// @return the newest value of each key.
    std::map<std::string, std::string> values() const
    {
        std::map<std::string, std::string> newest;
        for (const keyed_record& record : log) {
            newest.erase(record.key);
            if (record.value) {
                newest[record.key] = *record.value;
            }
        }
        return newest;
    }
    void write(const std::string& key, std::optional<std::string> value)
    {
        log.push_back({key, std::move(value), 0});
        if (held_read && !skips_wakeups) {
            std::exchange(held_read, nullptr)();
        }
    }
};

/// Records the callbacks of a follower.
struct change_recorder {
    std::map<std::string, std::string> values;
    std::vector<std::string> lines;
    bool complete{false};
    bool reachable{true};

    follower_callbacks callbacks()
    {
        follower_callbacks made;
        made.changed = [this](const keyed_record& record) {
            lines.push_back(record.key + "=" + record.value.value_or("-"));
            if (record.value) {
                values[record.key] = *record.value;
            }
            else {
                values.erase(record.key);
            }
        };
        made.complete = [this] { complete = true; };
        made.reachable = [this](bool now, const std::string&, steady_time) { reachable = now; };
        return made;
    }
};

using strings = std::map<std::string, std::string>;

inline follower_settings follow(fleet_topic topic)
{
    follower_settings settings;
    settings.topic = topic;
    settings.wait = 30s;
    return settings;
}

} // namespace agatespar::follower_test
