// Runs the control state machines of a whole fleet on a manual clock, and counts their messages.
#pragma once

#include <agatespar/backend/permit_service.h>
#include <agatespar/membership/membership.h>
#include <agatespar/membership/zone_directory.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatespar {

struct fleet_settings {
    std::size_t nodes{340};
    std::size_t servers{1600};
    std::size_t zones{5};
    double requests_per_second{2500};
    double config_changes_per_day{3700};
    double deaths_per_day{23};
    double restarts_per_day{140};
    /// Factor by which deaths and restarts are more frequent than stated, so that a short run has some.
    double churn_factor{60};
    std::chrono::seconds warm_up{60};
    std::chrono::seconds length{120};
    std::uint64_t seed{1};
};

/// Bytes and messages, sent and received.
struct traffic {
    std::uint64_t bytes_in{0};
    std::uint64_t bytes_out{0};
    std::uint64_t messages_in{0};
    std::uint64_t messages_out{0};

    std::uint64_t bytes() const { return bytes_in + bytes_out; }
    std::uint64_t messages() const { return messages_in + messages_out; }
};

/// Kind under which load polls are counted. They use HTTP, so they have no message kind of their own.
inline constexpr std::uint8_t poll_kind = 255;

using traffic_by_kind = std::map<std::uint8_t, traffic>;

struct fleet_result {
    /// Traffic by node, over the measured time.
    std::vector<traffic_by_kind> nodes;
    double seconds{0};
    std::int64_t largest_heap{0};
    std::uint64_t permits{0};
    std::uint64_t refused{0};
    std::uint64_t from_store{0};
    /// The longest time from a configuration change until all running VMs had received its number.
    std::chrono::milliseconds longest_config_propagation{0};
    std::uint64_t false_deaths{0};
    double cpu_seconds{0};
};

/// A simulated fleet in one process. A node that dies is replaced by a new one with the same index, zone and address.
class control_fleet {
public:
    explicit control_fleet(const fleet_settings& settings);
    fleet_result run();

private:
    struct node {
        std::uint32_t index{0};
        boot_id boot;
        vm_address address;
        std::size_t zone{0};
        std::unique_ptr<membership> members;
        std::unique_ptr<permit_service> permits;
        std::unique_ptr<zone_directory> directory;
        std::uint64_t view{0};
        steady_time starts_at;
        config_number config;
    };
    struct server {
        server_key key;
        std::uint32_t running{0};
        std::uint64_t done{0};
    };
    struct in_flight {
        boot_id from;
        std::uint32_t to{0};
        message_kind kind{};
        std::string payload;
    };
    struct work_end {
        steady_time at;
        std::uint32_t node{0};
        boot_id boot;
        permit used;
        bool operator<(const work_end& other) const { return at > other.at; }
    };

    void start_node(node& each);
    void list_vms();
    void step();
    void tick_node(node& each);
    void handle_events(node& each, const std::vector<membership_event>& events);
    void poll_servers(node& each);
    void deliver_all();
    void deliver(const in_flight& message);
    void send(const node& from, const vm_address& to, message_kind kind, const std::string& payload);
    void count(std::uint32_t index, std::uint8_t kind, std::uint64_t bytes, bool out);
    void start_requests();
    void start_work(node& each, const permit& used);
    void end_work();
    void change_config();
    void churn();
    void check_config();
    server_key choose_server(const node& each);
    node& random_node();
    bool event_occurs(double per_day);

    fleet_settings settings_;
    std::mt19937_64 random_;
    steady_time now_{std::chrono::hours{1}};
    std::vector<node> nodes_;
    std::vector<std::vector<server>> servers_;
    std::unordered_map<server_key, std::pair<std::size_t, std::size_t>> server_position_;
    std::unordered_map<std::string, std::uint32_t> node_by_address_;
    std::unordered_map<boot_id, vm_address> address_by_boot_;
    std::vector<in_flight> queue_;
    std::priority_queue<work_end> work_ends_;
    std::uint64_t frame_overhead_{0};
    bool measuring_{false};
    config_number config_;
    std::optional<steady_time> config_changed_;
    fleet_result result_;
};

} // namespace agatespar
