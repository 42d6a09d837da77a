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
#include <set>
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
    /// A VM that did not answer for this is left: two lost questions.
    std::chrono::milliseconds answer_time{900};
    /// A reader whose own read is out for longer than this has lost the store: it reads again each second.
    std::chrono::milliseconds store_time{1300};
    /// A VM that last heard of the store longer ago reads it, if it is to ask the readers itself: the time of a reader,
    /// and of the news on their way.
    std::chrono::milliseconds alone_time{1700};
    /// The same for a VM that none of those it asks has answered for this: they were lost, and so were the next ones.
    std::chrono::milliseconds lonely_time{1300};
    /// While the VMs that it asks answer and none hears the store, a VM that has others above it leaves the store to
    /// them for this, and for a part of `trust_spread` that differs between VMs. Both are longer than any reader needs
    /// to be replaced.
    std::chrono::milliseconds trust_time{6000};
    std::chrono::milliseconds trust_spread{3000};
    /// Between two reads that fail, at most: of such a VM, and of one that others wait for.
    std::chrono::milliseconds trusting_retry{4000};
    std::chrono::milliseconds reading_retry{1000};
    /// A reader that lost the store for this asks to be replaced: another VM may be served.
    std::chrono::milliseconds resign_time{3000};
    /// A VM that starts waits this long for others' records before it reads the store itself, if any of them answers:
    /// a list of thousands of servers passes a few slow links in this time.
    std::chrono::milliseconds start_time{4000};
    /// The same while none answers: others that lost power too start within the same moment.
    std::chrono::milliseconds restart_time{1000};
    /// VMs that find no secret in the list write one at different times within this, so that few collide.
    std::chrono::milliseconds secret_spread{800};
    /// A VM whose row is still not seen after this writes it itself.
    std::chrono::milliseconds row_time{2500};
    /// Rows that readers get within this are written in one call.
    std::chrono::milliseconds row_gather_time{100};
    /// A reader that wrote a row does not write it again for this, while it is on its way back.
    std::chrono::milliseconds row_memory{3000};
    /// A VM that starts and was told nothing for this asks a VM drawn from the whole list, as those above it may be
    /// starting too. Whoever has the records answers within some 50 ms, with a list of thousands of servers.
    std::chrono::milliseconds help_time{250};
    /// Between the first questions of a VM that does not know all yet and serves nobody; then twice as long each time.
    std::chrono::milliseconds start_interval{50};
    /// News that were sent and not confirmed for this are taken as lost.
    std::chrono::milliseconds resend_time{1500};
    /// Whole lists that are sent at the same time; other VMs that lack one wait.
    std::size_t most_lists{8};
    /// How often VMs are told that the store was heard, however quiet it is.
    std::chrono::milliseconds freshness_interval{500};
    /// A VM lists itself anew this often; some hundred do so with a call each few seconds.
    std::chrono::milliseconds renewal_time{std::chrono::minutes{20}};
    /// A VM whose row was not renewed for this has left for good: three renewals. Only time counts in which the VM that
    /// judges heard the store. Operators replace six VMs an hour, a small part of the margin that shares have.
    std::chrono::milliseconds listing_time{std::chrono::hours{1}};
    /// How often rows are judged.
    std::chrono::milliseconds judge_interval{std::chrono::seconds{10}};
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

/// Which VMs read, and whom each VM asks, is computed alike by all from the list that they keep in the store; nothing
/// rests on their agreement. A VM reads if it is one of the readers, or if it did not hear of the store for too long,
/// through whomever. Whoever is asked passes on what it knows, and how long ago the store was last heard.
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
    /// This VM's link and part of a core have changed: it lists itself anew.
    void change_size(double link_mbps, double cpu_share)
    {
        settings_.self.link_mbps = link_mbps;
        settings_.self.cpu_share = cpu_share;
    }
    /// Sees to it that a row of the system's own topics is written, with those of other VMs. A later row of the same
    /// key takes its place.
    void write_row(fleet_topic topic, const keyed_record& row);
    /// @return whether this VM is one of those that read the store for all.
    bool is_reader() const { return is_reader_; }
    /// @return whether this VM reads the store itself.
    bool reads_store() const { return reads_store_; }
    /// @return in a word why this VM goes to the store itself, or that it does not.
    const char* role() const { return role_; }
    /// @return this VM's place in an order of all listed ones that differs between matters, as a part of their number.
    double place_of_turn(std::uint64_t matter) const;
    /// @return VMs that are listed.
    std::size_t vms() const { return vms_.size(); }

private:
    /// A VM that this one asks.
    struct source {
        listed_vm vm;
        steady_time since;
        bool asked{false};
        std::optional<steady_time> heard_at;
        /// What it last said of itself.
        bool hears_store{false};
        bool lost_store{false};
    };
    /// A VM that was left.
    struct silence {
        steady_time until;
        std::chrono::milliseconds length{0};
    };
    /// News of a topic that are on their way to an asker.
    struct under_way {
        std::uint64_t end{0};
        bool is_list{false};
        /// Since when nothing of them was confirmed; nothing is under way without.
        std::optional<steady_time> since;
    };
    /// A VM that asks this one.
    struct asker {
        records_pull known;
        steady_time asked_at;
        std::array<under_way, fleet_topics> sent{};
    };
    /// A row that is to be written.
    struct pending_row {
        std::string value;
        steady_time since;
        /// Of this VM, which sees to it that the row is written at last.
        bool is_own{false};
        std::optional<steady_time> written_at;

        bool is_unwritten() const { return !written_at; }
    };
    using row_key = std::pair<std::uint8_t, std::string>;
    /// News in the form in which they are sent, for all who lack the same.
    struct packed_news {
        std::uint64_t from{0};
        std::uint64_t end{0};
        std::string payload;
        bool compressed{false};
    };

    topic_follower& follower(fleet_topic topic) const { return *followers_[static_cast<std::size_t>(topic)]; }
    void look();
    void keep_listed();
    void append(fleet_topic topic, const std::vector<keyed_record>& records, std::optional<std::uint64_t> expected_end,
                const char* what);
    void write_secret();
    bool writes_rows() const;
    void tend_rows();
    void write_rows(const std::function<bool(const pending_row&)>& is_due);
    std::vector<row_to_write> rows_to_pass_on() const;
    void note_row();
    void renew_own_row();
    void drop_old_rows();
    bool is_listed() const;
    bool may_write_secret() const;
    /// @return a part of a span that differs between VMs.
    std::chrono::milliseconds own_part_of(std::chrono::milliseconds span) const;
    void open();
    const reading_plan& current_plan();
    void choose_sources_anew();
    void leave_silent_sources();
    void decide_reading();
    /// @return whether this VM has started just now, and may still hear from others.
    bool is_starting() const;
    /// @return for how long this VM may go without hearing of the store before it reads it.
    std::chrono::milliseconds patience() const;
    bool hears_a_source() const;
    void set_reading(bool reads, const char* role, const char* reason);
    records_pull make_pull() const;
    void ask_sources();
    /// @return whom this VM is to ask once, as nobody else tells it anything.
    const listed_vm* choose_helper() const;
    void ask_helper();
    /// @return whether this VM asked a VM at this address.
    bool was_asked(const std::string& address);
    void receive(const std::string& from, message_kind kind, std::string_view payload);
    void take_pull(const std::string& from, records_pull pull);
    void gather_row(const row_to_write& row);
    void take_topic(const std::string& from, const topic_news& topic);
    void take_status(const std::string& from, const relay_status& status);
    source* source_at(const std::string& address);
    void note_confirmed(asker& who, const records_pull& pull);
    void tell(const std::string& address, asker& who, bool with_status);
    bool pack_news(const topic_position& position);
    void tell_all(bool with_status);
    bool owes_freshness();
    void pass_on_freshness();
    void apply(const topic_news& topic);
    std::size_t lists_under_way() const;
    relay_status describe_self() const;
    bool knows_all() const;
    /// @return whether this VM reads the store, and the store answers.
    bool reads_fresh() const;
    /// @return when the store last answered this VM, or a VM that its news came from.
    std::optional<steady_time> store_heard_at() const;
    std::chrono::milliseconds store_age() const;
    bool hears_store() const;
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
    /// For how long this VM has heard the store since the row was last written, by VM.
    std::map<std::string, std::chrono::milliseconds> unrenewed_;
    steady_time judged_at_;
    steady_time renewed_at_;
    std::vector<listed_vm> order_;
    std::optional<reading_plan> plan_;
    /// When a VM's silence ends, which changes the plan.
    steady_time plan_until_;
    bool is_reader_{false};
    bool reads_store_{false};
    const char* role_{"starting"};
    std::vector<source> sources_;
    /// When the store last answered a VM that news came from, as far as they told.
    std::optional<steady_time> passed_on_at_;
    /// When any VM that it asks last answered, and when there was first one to ask.
    std::optional<steady_time> heard_source_at_;
    std::optional<steady_time> first_asked_at_;
    /// Who was asked for help, and when records were last asked for so, or told.
    std::set<std::string> helpers_;
    steady_time help_asked_at_;
    steady_time told_at_;
    std::optional<steady_time> reading_since_;
    /// VMs between this one and those that ask the readers.
    std::size_t depth_{0};
    std::map<std::string, silence> silences_;
    std::map<std::string, asker> askers_;
    std::map<row_key, pending_row> rows_;
    std::array<packed_news, fleet_topics> lists_;
    std::array<packed_news, fleet_topics> changes_;
    steady_time started_;
    steady_time asked_sources_at_;
    std::chrono::milliseconds ask_interval_;
    /// Of the store's last word that the askers were told of.
    std::optional<steady_time> told_heard_at_;
    std::optional<steady_time> write_after_;
    bool writing_{false};
    std::optional<timer_id> look_timer_;
    std::optional<timer_id> tell_timer_;
    std::optional<timer_id> row_timer_;
    // Answers that come after the relay's end find this empty.
    std::shared_ptr<record_relay*> self_;
};

} // namespace agatespar
