// Keeps this VM in the list of VMs, chooses its upstreams, and decides whether this VM reads the store itself.
#include <agatespar/gateway/record_relay.h>
#include <agatespar/support/hash.h>
#include <agatespar/telemetry/log.h>

#include <sodium.h>

#include <algorithm>
#include <cmath>

namespace agatespar {

using namespace std::chrono_literals;

static constexpr std::size_t secret_bytes = 32;

static std::string make_secret()
{
    std::array<unsigned char, secret_bytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::array<char, 2 * secret_bytes + 1> text{};
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    return text.data();
}

record_relay::record_relay(event_loop& loop, const fleet_store& store, const relay_settings& settings,
                           follower_set followers, peer_link_opener open_link)
    : loop_(loop), store_(store), settings_(settings), followers_(followers), open_link_(std::move(open_link)),
      self_(std::make_shared<record_relay*>(this))
{
}

record_relay::~record_relay()
{
    *self_ = nullptr;
    for (auto* timer : {&check_timer_, &push_timer_, &row_timer_}) {
        if (*timer) {
            loop_.cancel(**timer);
        }
    }
}

void record_relay::start()
{
    started_ = renewed_at_ = expiry_checked_at_ = loop_.time().now();
    current_pull_interval_ = settings_.initial_pull_interval;
    follower(fleet_topic::vms).set_reading(true);
    run_checks();
}

void record_relay::apply_vm_record(const keyed_record& record)
{
    if (record.key == shared_secret_key) {
        // A store that was restored from an older copy may lack the secret. The VMs keep theirs, and write it again.
        secret_ = record.value ? record.value : secret_;
        next_write_at_.reset();
        return;
    }
    if (!record.value) {
        std::erase_if(vms_, [&record](const auto& entry) { return vm_record_key(entry.first) == record.key; });
    }
    else if (auto vm = read_vm_record(record)) {
        unrenewed_.erase(vm->name);
        vms_[vm->name] = std::move(*vm);
    }
    else {
        log_event(log_severity::warning, "vm_record_unreadable", {{"key", record.key}, {"reason", vm.error().message}});
        return;
    }
    order_.clear();
    plan_.reset();
}

void record_relay::on_topic_complete()
{
    schedule_push();
    if (check_timer_) {
        loop_.cancel(*check_timer_);
    }
    check_timer_ = loop_.post([this] { run_checks(); });
}

void record_relay::run_checks()
{
    ensure_listed();
    renew_own_row();
    delete_expired_rows();
    restore_own_rows();
    process_pending_rows();
    remove_expired_subscribers();
    drop_unresponsive_upstreams();
    update_upstreams();
    update_reading();
    push_status_if_due();
    pull_from_helper();
    const bool has_new_upstream =
        std::any_of(upstreams_.begin(), upstreams_.end(), [](const upstream& from) { return !from.requested; });
    const bool has_all = has_all_topics();
    if (has_new_upstream || loop_.time().now() - last_pull_at_ >= current_pull_interval_) {
        pull_from_upstreams();
        // No back-off while no upstream has answered: requests put no load on a VM that does not answer.
        const auto next = has_responsive_upstream() ? std::min(settings_.pull_interval, 2 * current_pull_interval_)
                                                    : current_pull_interval_;
        current_pull_interval_ = has_all ? settings_.pull_interval : next;
    }
    check_timer_ =
        loop_.schedule(has_all ? settings_.check_interval : settings_.initial_pull_interval, [this] { run_checks(); });
}

bool record_relay::is_listed() const
{
    const auto listed = vms_.find(settings_.self.name);
    const bool is_stored = follower(fleet_topic::vms).value_of(vm_record_key(settings_.self.name)) != nullptr;
    if (listed == vms_.end() || !is_stored) {
        return false;
    }
    // The turn counter is not persisted: after a restart, a listed row with a higher turn counts as up to date.
    listed_vm self = settings_.self;
    self.turn = std::max(self.turn, listed->second.turn);
    return listed->second == self;
}

std::chrono::milliseconds record_relay::jitter_within(std::chrono::milliseconds span) const
{
    constexpr std::uint64_t parts = 1024;
    return span * static_cast<std::int64_t>(stable_hash(settings_.self.name) % parts) /
           static_cast<std::int64_t>(parts);
}

/// VMs that start together each wait for a different fraction of the spread. Most of them see the secret of the first
/// VM before their own wait ends.
bool record_relay::may_write_secret() const
{
    return loop_.time().now() - started_ >= jitter_within(settings_.secret_write_spread);
}

/// Opens the link once the secret is known, and queues this VM's row if the list lacks it.
void record_relay::ensure_listed()
{
    const steady_time now = loop_.time().now();
    if (write_in_progress_ || (next_write_at_ && now < *next_write_at_) || !follower(fleet_topic::vms).is_gap_free()) {
        return;
    }
    const bool is_secret_stored = follower(fleet_topic::vms).value_of(shared_secret_key) != nullptr;
    if (!is_secret_stored && may_write_secret() && (!secret_ || is_row_writer())) {
        write_secret();
    }
    if (!secret_) {
        return;
    }
    if (!link_) {
        open();
    }
    if (!link_ || is_listed() || (vms_.empty() && !may_write_secret())) {
        return;
    }
    write_row(fleet_topic::vms, write_vm_record(settings_.self));
}

void record_relay::write_secret()
{
    // The secret, or the record with which this write conflicts, arrives through the follower. Until then it is not
    // written again.
    next_write_at_ = loop_.time().now() + settings_.write_retry_delay;
    std::vector<keyed_record> records{{shared_secret_key, secret_.value_or(make_secret()), 0}};
    if (!settings_.self.address.ends_with(":0")) {
        // With the address of this VM, the other VMs have an upstream at once.
        records.push_back(write_vm_record(settings_.self));
    }
    // The append succeeds only if the list is unchanged since it was read, so that VMs that start together agree on one
    // secret.
    append(fleet_topic::vms, records, follower(fleet_topic::vms).end(), shared_secret_key);
}

void record_relay::append(fleet_topic topic, const std::vector<keyed_record>& records,
                          std::optional<std::uint64_t> expected_end, const char* what)
{
    write_in_progress_ = true;
    store_.append(topic, records, expected_end, [this, self = self_, topic, records, what](append_result result) {
        if (*self == nullptr) {
            return;
        }
        write_in_progress_ = false;
        if (result == append_result::done || result == append_result::conflict) {
            return;
        }
        next_write_at_ = loop_.time().now() + settings_.write_retry_delay;
        for (const keyed_record& record : records) {
            if (const auto row = pending_rows_.find({static_cast<std::uint8_t>(topic), record.key});
                row != pending_rows_.end()) {
                row->second.written_at.reset();
            }
        }
        log_event(log_severity::warning, "row_not_written",
                  {{"what", what}, {"unknown", result == append_result::unknown}});
    });
}

void record_relay::open()
{
    auto opened = open_link_(
        *secret_, [this, self = self_](const std::string& from, message_kind kind, std::string_view payload) {
            if (*self != nullptr) {
                receive(from, kind, payload);
            }
        });
    if (!opened) {
        next_write_at_ = loop_.time().now() + settings_.write_retry_delay;
        log_event(log_severity::error, "peer_link_not_opened", {{"reason", opened.error().message}});
        return;
    }
    link_ = std::move(*opened);
    settings_.self.address = link_->address;
    log_event(log_severity::info, "peer_link_opened", {{"address", link_->address}});
}

double record_relay::relative_rank(std::uint64_t order_seed) const
{
    const std::uint64_t own = combine_hashes(stable_hash(settings_.self.name), order_seed);
    if (vms_.empty()) {
        return static_cast<double>(own) / std::pow(2.0, 64);
    }
    const auto before = std::count_if(vms_.begin(), vms_.end(), [own, order_seed](const auto& entry) {
        return combine_hashes(stable_hash(entry.first), order_seed) < own;
    });
    return static_cast<double>(before) / static_cast<double>(vms_.size() + 1);
}

bool record_relay::is_excluded(const std::string& name) const
{
    const auto found = exclusions_.find(name);
    return found != exclusions_.end() && loop_.time().now() < found->second.until;
}

void record_relay::drop_unresponsive_upstreams()
{
    const steady_time now = loop_.time().now();
    std::erase_if(upstreams_, [&](const upstream& from) {
        const bool answers = now - from.received_at.value_or(from.since) < settings_.upstream_timeout;
        if (answers && !from.lost_store) {
            return false;
        }
        exclusion& known = exclusions_[from.vm.name];
        known.length =
            std::clamp(from.received_at ? 0ms : 2 * known.length, settings_.min_exclusion, settings_.max_exclusion);
        known.until = now + known.length;
        link_->forget(from.vm.address);
        plan_.reset();
        log_event(log_severity::warning, "reader_left",
                  {{"vm", from.vm.name},
                   {"answers", answers},
                   {"hears_store", from.has_store_contact},
                   {"store_age_ms", store_contact_age().count()},
                   {"for_ms", known.length.count()}});
        return true;
    });
    // An exclusion that ended long ago no longer affects the length of the next one.
    std::erase_if(exclusions_, [&](const auto& entry) { return entry.second.until + settings_.max_exclusion <= now; });
}

/// @return the plan of readers and upstreams, recomputed only when the list or the excluded VMs have changed.
const reading_plan& record_relay::current_plan()
{
    const steady_time now = loop_.time().now();
    if (plan_ && now < plan_valid_until_) {
        return *plan_;
    }
    if (order_.empty()) {
        // Computed lazily, once for a batch of changed rows.
        order_ = reading_order(vms_);
    }
    plan_ =
        make_reading_plan(order_, settings_.self.zone, [this](const std::string& name) { return is_excluded(name); });
    plan_valid_until_ = steady_time::max();
    for (const auto& [name, excluded] : exclusions_) {
        if (excluded.until > now) {
            plan_valid_until_ = std::min(plan_valid_until_, excluded.until);
        }
    }
    return *plan_;
}

void record_relay::update_upstreams()
{
    is_reader_ = false;
    if (!link_) {
        return;
    }
    const reading_plan& plan = current_plan();
    is_reader_ = std::any_of(plan.readers.begin(), plan.readers.end(),
                             [this](const listed_vm& vm) { return vm.name == settings_.self.name; });
    depth_ = tree_depth_of(plan, settings_.self.name);
    std::vector<upstream> chosen;
    // A reader that has contact with the store needs no upstream.
    const bool needs_no_upstream = is_reader_ && has_all_topics() && has_direct_store_contact();
    for (listed_vm& vm : needs_no_upstream ? std::vector<listed_vm>{} : choose_upstreams(plan, settings_.self)) {
        const auto known =
            std::find_if(upstreams_.begin(), upstreams_.end(), [&vm](const upstream& from) { return from.vm == vm; });
        if (known != upstreams_.end()) {
            chosen.push_back(*known);
            continue;
        }
        upstream& added = chosen.emplace_back();
        added.vm = std::move(vm);
        added.since = loop_.time().now();
    }
    upstreams_ = std::move(chosen);
    if (!upstreams_.empty() && !first_upstream_at_) {
        first_upstream_at_ = loop_.time().now();
    }
}

void record_relay::update_reading()
{
    if (is_reader_) {
        set_reading(true, "reader", "this VM is a reader");
        return;
    }
    // The contact may have been reported by any VM: a new upstream gets only the remaining time of the one it replaces.
    if (relayed_contact_at_ && loop_.time().now() - *relayed_contact_at_ < store_read_delay()) {
        set_reading(false, "told", "other VMs have contact with the store");
        if (store_contact_age() > settings_.store_contact_timeout) {
            for (topic_follower* each : followers_) {
                each->on_upstream_contact_lost();
            }
        }
        return;
    }
    if (!is_starting()) {
        set_reading(true, "alone", "no other VM has contact with the store");
        return;
    }
    if (!upstreams_.empty()) {
        // The upstreams send the list of VMs, too.
        follower(fleet_topic::vms).set_reading(false);
    }
}

bool record_relay::has_responsive_upstream() const
{
    return upstream_received_at_ && loop_.time().now() - *upstream_received_at_ < settings_.lost_upstreams_timeout;
}

std::chrono::milliseconds record_relay::store_read_delay() const
{
    if (!has_responsive_upstream()) {
        return settings_.lost_upstreams_timeout;
    }
    if (depth_ == 0) {
        return settings_.store_contact_timeout;
    }
    return settings_.deferred_read_delay + jitter_within(settings_.deferred_read_spread);
}

bool record_relay::is_starting() const
{
    if (relayed_contact_at_) {
        return false;
    }
    const steady_time now = loop_.time().now();
    if (!first_upstream_at_) {
        return now - started_ < settings_.start_timeout;
    }
    return now - *first_upstream_at_ <
           (has_responsive_upstream() ? settings_.start_timeout : settings_.unanswered_start_timeout);
}

void record_relay::set_reading(bool reads, const char* role, const char* reason)
{
    role_ = role;
    if (reads != reads_store_) {
        reading_since_ = loop_.time().now();
        log_event(log_severity::info, reads ? "store_reading_begun" : "store_reading_left",
                  {{"reason", reason}, {"vms", static_cast<std::uint64_t>(vms_.size())}});
    }
    reads_store_ = reads;
    // While the store does not answer, a VM polls only the topic of operator orders. The other topics are read once the
    // store answers again.
    const bool answers = follower(fleet_topic::operator_orders).is_reachable();
    const bool defers_reading = !is_reader_ && depth_ > 0 && has_responsive_upstream();
    const auto longest_retry =
        defers_reading ? settings_.max_deferred_retry_interval : settings_.max_read_retry_interval;
    for (std::size_t topic = 0; topic < fleet_topic_count; ++topic) {
        const bool is_leading_topic = static_cast<fleet_topic>(topic) == fleet_topic::operator_orders;
        followers_[topic]->set_reading(reads && (is_leading_topic || answers), longest_retry);
    }
}

} // namespace agatespar
