// Distributes the records of the platform's store: a few VMs read it and forward its records to the other VMs.
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
#include <vector>

namespace agatespar {

/// Sends messages to other VMs. Delivery is not guaranteed.
struct peer_link {
    /// Address at which this VM receives messages, "ip:port".
    std::string address;
    std::function<bool(const std::string& address, message_kind kind, std::string payload)> send;
    /// Closes the connection to a VM that does not answer; the next message opens a new one.
    std::function<void(const std::string& address)> forget;
};

using peer_receiver = std::function<void(const std::string& from, message_kind kind, std::string_view payload)>;
/// Opens the link, authenticated with the secret that all VMs share. The receiver may be called until the owner of the
/// link is destroyed.
using peer_link_opener = std::function<outcome<peer_link>(const std::string& secret, peer_receiver receiver)>;

struct relay_settings {
    /// This VM's row in the list of VMs. The address is filled in once the link is open.
    listed_vm self;
    /// Interval between two pull requests to an upstream. With two upstreams, a VM sends five messages a second.
    std::chrono::milliseconds pull_interval{400};
    /// An upstream that has not answered for this long is no longer used. Equals two lost requests.
    std::chrono::milliseconds upstream_timeout{900};
    /// A reader whose last answer from the store is older than this has lost contact with the store. In normal
    /// operation the store answers a read of the leading topic at least once a second.
    std::chrono::milliseconds reader_store_timeout{1300};
    /// A VM that pulls from the readers directly reads the store itself once the latest known contact with the store,
    /// its own or reported, is older than this. Covers `reader_store_timeout` of a reader and the delivery of its
    /// updates.
    std::chrono::milliseconds store_contact_timeout{1700};
    /// As `store_contact_timeout`, for a VM that has received nothing from any upstream for this long: its upstreams
    /// failed, and so did their replacements.
    std::chrono::milliseconds lost_upstreams_timeout{1300};
    /// A VM whose upstreams are not readers, but answer, waits this long without contact with the store before it reads
    /// the store itself, plus a fraction of `deferred_read_spread` that differs between VMs. Both are longer than the
    /// replacement of a reader takes.
    std::chrono::milliseconds deferred_read_delay{6000};
    std::chrono::milliseconds deferred_read_spread{3000};
    /// Maximum interval between failed reads of the store: for such a VM, and for a VM that others depend on.
    std::chrono::milliseconds max_deferred_retry_interval{4000};
    std::chrono::milliseconds max_read_retry_interval{1000};
    /// A reader without contact with the store for this long reports it (`relay_status::lost_store`), so that it is
    /// replaced by a VM that the store may still answer.
    std::chrono::milliseconds reader_resign_timeout{3000};
    /// How long a starting VM waits for records from other VMs before it reads the store itself, if any upstream
    /// answers. A list of thousands of servers crosses a few slow links within this time.
    std::chrono::milliseconds start_timeout{4000};
    /// The same while no upstream answers. VMs that lost power at the same time start together within this time.
    std::chrono::milliseconds unanswered_start_timeout{1000};
    /// VMs that find no secret in the list spread their attempts to write one over this span, so that few conflict.
    std::chrono::milliseconds secret_write_spread{800};
    /// A VM writes a row of its own to the store itself if the row has not appeared there after this time.
    std::chrono::milliseconds row_write_timeout{2500};
    /// A reader writes all rows that it receives within this time in one call.
    std::chrono::milliseconds row_batch_delay{100};
    /// How long a reader remembers a row of another VM that it has written, so that it does not write the row again
    /// before it reads the row back.
    std::chrono::milliseconds row_retention{3000};
    /// A starting VM that has received no records for this long pulls from a VM drawn from the whole list, since its
    /// upstreams may be starting too. A VM that has the records answers within about 50 ms, even with a list of
    /// thousands of servers.
    std::chrono::milliseconds helper_pull_interval{250};
    /// Initial interval between pull requests of a VM that lacks records and does not serve requests yet. Once an
    /// upstream answers, the interval doubles with each request, up to `pull_interval`.
    std::chrono::milliseconds initial_pull_interval{50};
    /// Updates that were sent and not confirmed within this time are regarded as lost.
    std::chrono::milliseconds resend_timeout{1500};
    /// Maximum number of full snapshots of a topic in flight at a time. Other VMs that need one wait.
    std::size_t max_snapshots_in_flight{8};
    /// Interval at which the subscribers are sent the time of the last contact with the store, even without changes.
    std::chrono::milliseconds status_push_interval{500};
    /// Interval at which a VM renews its row. A few hundred VMs together cause one call every few seconds.
    std::chrono::milliseconds row_renewal_interval{std::chrono::minutes{20}};
    /// A VM whose row has not been renewed for this long, three renewals, is regarded as removed. Counts only time in
    /// which the VM that checks expiry had contact with the store. Operators replace six VMs an hour; rows that are
    /// still listed use up a small part of the margin in the per-VM shares.
    std::chrono::milliseconds vm_row_lifetime{std::chrono::hours{1}};
    /// Interval at which rows of VMs are checked for expiry.
    std::chrono::milliseconds row_expiry_check_interval{std::chrono::seconds{10}};
    /// A VM that has sent a pull request within this time is a subscriber, which is sent updates as they come.
    std::chrono::milliseconds subscriber_lifetime{1500};
    /// An upstream that was abandoned is not used again for this long, as VMs return within seconds. The time doubles
    /// up to `max_exclusion` each time that the VM is abandoned again without having answered in between.
    std::chrono::milliseconds min_exclusion{5000};
    std::chrono::milliseconds max_exclusion{60'000};
    /// Records that arrive within this time are forwarded together.
    std::chrono::milliseconds batch_delay{10};
    /// Delay after a failed write.
    std::chrono::milliseconds write_retry_delay{1000};
    /// Interval of the periodic checks, among them those of the upstreams.
    std::chrono::milliseconds check_interval{200};
};

/// Forwards the records of the store between VMs.
///
/// Each VM computes the readers and its own upstreams with the same algorithm from the list of VMs in the store. VMs
/// with different views of the list still work correctly. A VM reads the store if it is one of the readers, or if the
/// latest contact with the store that it knows of, its own or that of another VM, is too old. A VM answers pull
/// requests with the records that it knows and with the time since the last contact with the store.
class record_relay {
public:
    using follower_set = std::array<topic_follower*, fleet_topic_count>;

    /// @param followers by topic. They must outlive the relay, which controls which of them read the store.
    record_relay(event_loop& loop, const fleet_store& store, const relay_settings& settings, follower_set followers,
                 peer_link_opener open_link);
    record_relay(const record_relay&) = delete;
    record_relay& operator=(const record_relay&) = delete;
    ~record_relay();

    void start();
    /// Applies a changed record of the list of VMs.
    void apply_vm_record(const keyed_record& record);
    /// Schedules a push to the subscribers. Called for each record that a follower reports.
    void schedule_push();
    /// Runs the periodic checks at once. Called when a follower has completed its topic for the first time: until all
    /// topics are complete, this VM serves no requests.
    void on_topic_complete();
    /// Sets the capacity of this VM's network link, in megabits per second, and its CPU share, in cores. The row of
    /// this VM is rewritten.
    void set_own_capacity(double link_mbps, double cpu_share)
    {
        settings_.self.link_mbps = link_mbps;
        settings_.self.cpu_share = cpu_share;
    }
    /// Queues a row of one of the system's own topics for writing, batched with rows of other VMs, and retries until it
    /// appears in the store. A later row with the same key replaces it. A row of evidence is written again if the store
    /// was restored from a copy without it.
    void write_row(fleet_topic topic, const keyed_record& row);
    /// @return whether this VM is one of the readers, which read the store for all VMs.
    bool is_reader() const { return is_reader_; }
    /// @return whether this VM reads the store itself.
    bool reads_store() const { return reads_store_; }
    /// @return why this VM reads the store or does not: "starting", "reader" (it is one of the readers), "told" (other
    /// VMs supply the records) or "alone" (it reads the store, as no other VM has contact with it).
    const char* role() const { return role_; }
    /// @return the position of this VM in a pseudo-random order of all listed VMs, as a fraction of their number.
    /// @param order_seed selects the order.
    double relative_rank(std::uint64_t order_seed) const;
    /// @return the number of listed VMs.
    std::size_t vms() const { return vms_.size(); }

private:
    /// A VM from which this VM pulls records.
    struct upstream {
        listed_vm vm;
        steady_time since;
        bool requested{false};
        std::optional<steady_time> received_at;
        /// From its last status message.
        bool has_store_contact{false};
        bool lost_store{false};
    };
    /// Period during which an abandoned upstream is not used.
    struct exclusion {
        steady_time until;
        std::chrono::milliseconds length{0};
    };
    /// Updates of a topic that were sent to a subscriber and are not confirmed yet.
    struct in_flight_update {
        std::uint64_t era{0};
        std::uint64_t end{0};
        bool is_snapshot{false};
        /// Send time of the oldest unconfirmed update; empty if none is in flight.
        std::optional<steady_time> since;
    };
    /// A VM that pulls records from this VM.
    struct subscriber {
        records_pull known;
        steady_time pulled_at;
        std::array<in_flight_update, fleet_topic_count> sent{};
    };
    /// A row that is not known to be in the store yet.
    struct pending_row {
        std::string value;
        steady_time since;
        /// The row belongs to this VM, which retries until it is written.
        bool is_own{false};
        std::optional<steady_time> written_at;

        bool is_unwritten() const { return !written_at; }
    };
    using row_key = std::pair<std::uint8_t, std::string>;
    struct packed_frame {
        message_kind kind{message_kind::records_topic};
        std::string payload;
    };
    /// An encoded update, reused for all subscribers that lack the same records.
    struct packed_update {
        std::uint64_t era{0};
        std::uint64_t from{0};
        std::uint64_t end{0};
        /// One frame, or the parts of a large snapshot.
        std::vector<packed_frame> frames;
    };
    /// The parts of a snapshot that have been received from one VM.
    struct partial_snapshot {
        std::string sender;
        std::uint64_t era{0};
        std::uint64_t end{0};
        std::vector<std::optional<topic_update>> parts;
    };

    topic_follower& follower(fleet_topic topic) const { return *followers_[static_cast<std::size_t>(topic)]; }
    void run_checks();
    void ensure_listed();
    void append(fleet_topic topic, const std::vector<keyed_record>& records, std::optional<std::uint64_t> expected_end,
                const char* what);
    void write_secret();
    bool is_row_writer() const;
    void restore_own_rows();
    void process_pending_rows();
    void write_rows(const std::function<bool(const pending_row&)>& is_due);
    std::vector<row_to_write> rows_to_forward() const;
    void schedule_row_batch();
    void renew_own_row();
    void delete_expired_rows();
    bool is_listed() const;
    bool may_write_secret() const;
    /// @return a fraction of a span that is fixed for this VM and differs between VMs.
    std::chrono::milliseconds jitter_within(std::chrono::milliseconds span) const;
    void open();
    const reading_plan& current_plan();
    void update_upstreams();
    void drop_unresponsive_upstreams();
    void update_reading();
    /// @return whether this VM started recently and may still receive records from other VMs.
    bool is_starting() const;
    /// @return how old the latest known contact with the store may be before this VM reads the store itself.
    std::chrono::milliseconds store_read_delay() const;
    bool has_responsive_upstream() const;
    void set_reading(bool reads, const char* role, const char* reason);
    records_pull make_pull() const;
    void pull_from_upstreams();
    /// @return a listed VM to pull from once because no upstream sends records, or null if none is needed.
    const listed_vm* choose_helper() const;
    void pull_from_helper();
    /// @return whether this VM has sent a pull request to this address.
    bool is_expected_sender(const std::string& address);
    void receive(const std::string& from, message_kind kind, std::string_view payload);
    void handle_pull(const std::string& from, records_pull pull);
    void queue_forwarded_row(const row_to_write& row);
    void handle_topic_update(const std::string& from, const topic_update& topic);
    void handle_status(const std::string& from, const relay_status& status);
    upstream* upstream_at(const std::string& address);
    void release_confirmed(subscriber& peer, const records_pull& pull);
    void push_updates(const std::string& address, subscriber& peer, bool with_status);
    bool pack_update(const topic_position& position);
    bool send_frames(const std::string& address, const packed_update& packed);
    void handle_snapshot_part(const std::string& from, snapshot_part part);
    void push_to_subscribers(bool with_status);
    bool claim_status_push();
    void push_status_if_due();
    void apply(const topic_update& topic);
    std::size_t snapshots_in_flight() const;
    relay_status own_status() const;
    bool has_all_topics() const;
    /// @return whether this VM reads the store and the store has answered recently.
    bool has_direct_store_contact() const;
    /// @return when the store last answered this VM or, as far as is known, a VM whose records reach this VM.
    std::optional<steady_time> last_store_contact_at() const;
    std::chrono::milliseconds store_contact_age() const;
    bool has_store_contact() const;
    bool is_excluded(const std::string& name) const;
    void remove_expired_subscribers();

    event_loop& loop_;
    const fleet_store& store_;
    relay_settings settings_;
    follower_set followers_;
    peer_link_opener open_link_;
    std::optional<peer_link> link_;
    std::optional<std::string> secret_;
    std::map<std::string, listed_vm> vms_;
    /// By VM name: for how long this VM has had contact with the store since the row was last written.
    std::map<std::string, std::chrono::milliseconds> unrenewed_;
    steady_time expiry_checked_at_;
    steady_time renewed_at_;
    /// The result of reading_order(); empty if it has to be recomputed.
    std::vector<listed_vm> order_;
    std::optional<reading_plan> plan_;
    /// When the next exclusion of a VM ends, which changes the plan.
    steady_time plan_valid_until_;
    bool is_reader_{false};
    bool reads_store_{false};
    const char* role_{"starting"};
    std::vector<upstream> upstreams_;
    /// When the store last answered another VM, as far as reported to this VM.
    std::optional<steady_time> relayed_contact_at_;
    /// When the last message of an upstream arrived, and when there was an upstream for the first time.
    std::optional<steady_time> upstream_received_at_;
    std::optional<steady_time> first_upstream_at_;
    /// Addresses of the helpers that were sent a pull request, the time of the last such request, and the time at which
    /// the last records arrived.
    std::set<std::string> helpers_;
    steady_time helper_pulled_at_;
    steady_time update_received_at_;
    /// When this VM last started or stopped to read the store.
    std::optional<steady_time> reading_since_;
    /// Number of VMs on the path from the VMs that pull from the readers to this one; 0 for those VMs.
    std::size_t depth_{0};
    std::map<std::string, exclusion> exclusions_;
    std::map<std::string, subscriber> subscribers_;
    std::map<row_key, pending_row> pending_rows_;
    /// The last value of each row of evidence of this VM.
    std::map<std::string, std::string> own_evidence_;
    std::array<packed_update, fleet_topic_count> snapshots_;
    std::array<packed_update, fleet_topic_count> changes_;
    std::array<partial_snapshot, fleet_topic_count> received_parts_;
    steady_time started_;
    steady_time last_pull_at_;
    std::chrono::milliseconds current_pull_interval_;
    /// The last contact with the store that was reported to the subscribers.
    std::optional<steady_time> reported_contact_at_;
    std::optional<steady_time> next_write_at_;
    bool write_in_progress_{false};
    std::optional<timer_id> check_timer_;
    std::optional<timer_id> push_timer_;
    std::optional<timer_id> row_timer_;
    // Points to null after destruction, so that callbacks that arrive later do nothing.
    std::shared_ptr<record_relay*> self_;
};

} // namespace agatespar
