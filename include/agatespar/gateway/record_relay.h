// Lets a few VMs read the platform's store and pass its records on to the others.
#pragma once

#include <agatespar/gateway/relay_messages.h>
#include <agatespar/gateway/topic_follower.h>
#include <agatespar/gateway/vm_list.h>
#include <agatespar/kernel/event_loop.h>
#include <agatespar/wire/message_kind.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace agatespar {

/// The means to talk to other VMs. Delivery is not certain.
struct peer_link {
    /// Where this VM takes messages, "ip:port".
    std::string address;
    std::function<bool(const std::string& address, message_kind kind, std::string payload)> send;
    /// Drops the connection to a VM that does not answer; the next message opens a new one.
    std::function<void(const std::string& address)> forget;
};

using peer_receiver = std::function<void(const std::string& from, message_kind kind, std::string_view payload)>;
/// Opens the link with the secret that all VMs share. The receiver is called until the link's owner ends.
using peer_link_opener = std::function<outcome<peer_link>(const std::string& secret, peer_receiver receiver)>;

struct relay_settings {
    /// How this VM lists itself; its address comes from the link.
    listed_vm self;
    /// Between two questions to a reader. With two readers asked, a VM sends five messages a second.
    std::chrono::milliseconds pull_interval{400};
    /// A reader that did not answer for this, or has no fresh word from the store, is left: two lost questions.
    std::chrono::milliseconds answer_time{900};
    /// A reader whose own read is out for longer than this has lost the store: it reads again each second.
    std::chrono::milliseconds store_time{1300};
    /// A VM that starts waits this long for another VM's records before it reads the store itself. VMs that start
    /// together for the first time have listed themselves by then, some hundred rows of some milliseconds each.
    std::chrono::milliseconds start_time{1500};
    /// The same for a VM that is listed already: the others are there, or start within the same moment.
    std::chrono::milliseconds restart_time{300};
    /// Between two questions while this VM does not know all yet and serves nobody.
    std::chrono::milliseconds start_interval{50};
    /// Whoever asked within this is told news at once.
    std::chrono::milliseconds asker_time{1500};
    /// A reader that was left is not asked again for this, as VMs come back within seconds; twice as long each time it
    /// is left anew without fresh news in between, up to the longest.
    std::chrono::milliseconds silence_memory{5000};
    std::chrono::milliseconds longest_silence{60'000};
    /// Records that come together are passed on together.
    std::chrono::milliseconds gather_time{10};
    /// After a write that failed.
    std::chrono::milliseconds write_retry{1000};
    /// How often readers are judged.
    std::chrono::milliseconds look_interval{200};
};

/// Which VMs read is computed alike by all from the list that they keep in the store; nothing rests on their agreement.
/// A VM reads if it is one of the readers, if another VM asks it, or if no reader that it asks has fresh news.
class record_relay {
public:
    using follower_set = std::array<topic_follower*, fleet_topics>;

    /// @param followers by topic. They outlive the relay, which says which of them read.
    record_relay(event_loop& loop, const fleet_store& store, const relay_settings& settings, follower_set followers,
                 peer_link_opener open_link);
    record_relay(const record_relay&) = delete;
    record_relay& operator=(const record_relay&) = delete;
    ~record_relay();

    void start();
    /// The list of VMs has changed.
    void take_vm_record(const keyed_record& record);
    /// A follower has told a record, which those who ask this VM may lack.
    void note_change();
    /// A follower knows its topic whole for the first time: what waits for it goes on at once, as nobody is served
    /// meanwhile.
    void note_complete();
    /// @return whether this VM reads the store itself.
    bool reads_store() const { return reads_store_; }
    /// @return VMs that are listed.
    std::size_t vms() const { return vms_.size(); }

private:
    /// A reader that this VM asks.
    struct source {
        listed_vm vm;
        steady_time since;
        bool asked{false};
        std::optional<steady_time> heard_at;
        /// When it last had fresh news from the store.
        std::optional<steady_time> fresh_at;
        /// What it last said of itself.
        bool hears_store{false};
        std::chrono::milliseconds store_age{0};
    };
    /// A reader that was left.
    struct silence {
        steady_time until;
        std::chrono::milliseconds length{0};
    };
    /// A VM that asks this one.
    struct asker {
        records_pull known;
        steady_time asked_at;
    };

    topic_follower& follower(fleet_topic topic) const { return *followers_[static_cast<std::size_t>(topic)]; }
    void look();
    void keep_listed();
    void append(const keyed_record& record, std::optional<std::uint64_t> expected_end, const char* what);
    void open();
    void choose_sources_anew();
    void leave_silent_sources();
    void decide_reading();
    /// @return whether this VM has started just now, and may still hear from others.
    bool is_starting() const;
    void set_reading(bool reads, const char* reason);
    void ask_sources();
    void receive(const std::string& from, message_kind kind, std::string_view payload);
    void take_pull(const std::string& from, records_pull pull);
    void take_news(const std::string& from, const records_news& news);
    void tell(const std::string& address, asker& asker, bool also_nothing);
    void tell_all();
    std::optional<topic_news> news_for(const topic_position& position) const;
    records_news describe_self() const;
    bool knows_all() const;
    /// @return whether this VM reads the store, and the store answers.
    bool hears_store() const;
    std::chrono::milliseconds store_age() const;
    bool is_silent(const std::string& name) const;
    void forget_old_askers();

    event_loop& loop_;
    const fleet_store& store_;
    relay_settings settings_;
    follower_set followers_;
    peer_link_opener open_link_;
    std::optional<peer_link> link_;
    std::optional<std::string> secret_;
    std::map<std::string, listed_vm> vms_;
    std::vector<listed_vm> order_;
    bool is_reader_{false};
    bool reads_store_{false};
    std::vector<source> sources_;
    /// When any reader last had fresh news from the store.
    std::optional<steady_time> fresh_at_;
    std::map<std::string, silence> silences_;
    std::map<std::string, asker> askers_;
    steady_time started_;
    steady_time asked_sources_at_;
    std::optional<steady_time> write_after_;
    bool writing_{false};
    std::optional<timer_id> look_timer_;
    std::optional<timer_id> tell_timer_;
    // Answers that come after the relay's end find this empty.
    std::shared_ptr<record_relay*> self_;
};

} // namespace agatespar
