// Simulates the events of the fleet: requests, configuration changes, deaths and restarts.
#include "control_fleet.h"
#include "counted_heap.h"

#include <algorithm>

namespace agatespar {

namespace {

constexpr std::chrono::milliseconds tick_interval{100};
constexpr double mean_work_seconds = 8.0;
constexpr double seconds_per_day = 86'400;
constexpr std::chrono::seconds restart_time{10};
constexpr std::chrono::seconds death_time{60};

} // namespace

control_fleet::node& control_fleet::random_node()
{
    return nodes_[std::uniform_int_distribution<std::size_t>{0, nodes_.size() - 1}(random_)];
}

bool control_fleet::event_occurs(double per_day)
{
    const double share = std::chrono::duration<double>(tick_interval).count() / seconds_per_day;
    return std::uniform_real_distribution<>{}(random_) < per_day * share;
}

server_key control_fleet::choose_server(const node& each)
{
    if (const auto available = each.permits->holder().any_held(now_)) {
        return *available;
    }
    // The less loaded of two random servers, by the zone's server table.
    const auto& servers = servers_[each.zone];
    std::uniform_int_distribution<std::size_t> pick{0, servers.size() - 1};
    const server_key first = servers[pick(random_)].key;
    const server_key second = servers[pick(random_)].key;
    const auto load = [&each](server_key key) {
        const auto known = each.permits->table().find(key);
        return known && known->entry.limit > 0 ? known->entry.in_force * 1.0 / known->entry.limit : 1.0;
    };
    return load(first) <= load(second) ? first : second;
}

void control_fleet::start_requests()
{
    std::poisson_distribution<int> arrivals{settings_.requests_per_second *
                                            std::chrono::duration<double>(tick_interval).count()};
    for (int remaining = arrivals(random_); remaining > 0; --remaining) {
        node& each = random_node();
        if (now_ < each.starts_at) {
            continue;
        }
        const heap_scope scope{each.index};
        const server_key key = choose_server(each);
        if (const auto available = each.permits->try_acquire(key, now_)) {
            start_work(each, *available);
            continue;
        }
        const auto requested = each.permits->request_permit(key, false, now_, [this, &each](outcome<permit> granted) {
            granted ? start_work(each, *granted) : void(++result_.refused);
        });
        result_.refused += requested ? 0 : 1;
    }
}

void control_fleet::start_work(node& each, const permit& used)
{
    ++result_.permits;
    const auto [zone, position] = server_position_.at(used.server);
    ++servers_[zone][position].running;
    const std::chrono::duration<double> length{std::exponential_distribution<>{1.0 / mean_work_seconds}(random_)};
    const heap_scope scope{UINT32_MAX};
    work_ends_.push({now_ + std::chrono::duration_cast<duration>(length), each.index, each.boot, used});
}

void control_fleet::end_work()
{
    while (!work_ends_.empty() && work_ends_.top().at <= now_) {
        const work_end ended = work_ends_.top();
        work_ends_.pop();
        const auto [zone, position] = server_position_.at(ended.used.server);
        --servers_[zone][position].running;
        ++servers_[zone][position].done;
        node& each = nodes_[ended.node];
        if (each.boot == ended.boot && now_ >= each.starts_at) {
            const heap_scope scope{each.index};
            each.permits->release(ended.used, permit_result{}, now_);
        }
    }
}

void control_fleet::change_config()
{
    if (config_changed_ || !event_occurs(settings_.config_changes_per_day)) {
        return;
    }
    config_ = config_number{config_.value() + 1};
    config_changed_ = now_;
    // One VM of each zone reads the log continuously.
    for (std::size_t zone = 0; zone < settings_.zones; ++zone) {
        node& tailing_node = nodes_[zone];
        const heap_scope scope{tailing_node.index};
        tailing_node.config = config_;
        tailing_node.members->publish({gossip_kind::config_head, "", config_.value(), 0, std::string(8, 'h')}, true);
    }
}

void control_fleet::check_config()
{
    if (!config_changed_) {
        return;
    }
    const bool everywhere = std::all_of(nodes_.begin(), nodes_.end(), [this](const node& each) {
        return each.config >= config_ || now_ < each.starts_at + std::chrono::seconds{5};
    });
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - *config_changed_);
    result_.longest_config_propagation = std::max(result_.longest_config_propagation, age);
    if (everywhere) {
        config_changed_.reset();
    }
}

void control_fleet::churn()
{
    const bool death = event_occurs(settings_.deaths_per_day * settings_.churn_factor);
    const bool restart = event_occurs(settings_.restarts_per_day * settings_.churn_factor);
    if (!death && !restart) {
        return;
    }
    node& victim = random_node();
    if (now_ < victim.starts_at || victim.index < settings_.zones) {
        return;
    }
    if (restart) {
        const heap_scope scope{victim.index};
        victim.members->announce_leaving(now_);
        for (const auto& message : victim.members->leave(now_).messages) {
            send(victim, message.to, message.kind, message.payload);
        }
    }
    start_node(victim);
    victim.starts_at = now_ + (death ? death_time : restart_time);
    list_vms();
}

} // namespace agatespar
