// Keeps this VM listed, chooses whom to ask, and decides whether to read the store itself.
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
    for (auto* timer : {&look_timer_, &tell_timer_, &row_timer_}) {
        if (*timer) {
            loop_.cancel(**timer);
        }
    }
}

void record_relay::start()
{
    started_ = renewed_at_ = judged_at_ = loop_.time().now();
    ask_interval_ = settings_.start_interval;
    follower(fleet_topic::vms).set_reading(true);
    look();
}

void record_relay::take_vm_record(const keyed_record& record)
{
    if (record.key == secret_key) {
        secret_ = record.value;
        write_after_.reset();
        return;
    }
    if (!record.value) {
        std::erase_if(vms_, [&record](const auto& entry) { return vm_record_key(entry.first) == record.key; });
    }
    else if (auto vm = read_vm(record)) {
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

void record_relay::note_complete()
{
    note_change();
    if (look_timer_) {
        loop_.cancel(*look_timer_);
    }
    look_timer_ = loop_.post([this] { look(); });
}

void record_relay::look()
{
    keep_listed();
    renew_own_row();
    drop_old_rows();
    tend_rows();
    forget_old_askers();
    leave_silent_sources();
    choose_sources_anew();
    decide_reading();
    pass_on_freshness();
    ask_helper();
    const bool has_new = std::any_of(sources_.begin(), sources_.end(), [](const source& from) { return !from.asked; });
    const bool knows = knows_all();
    if (has_new || loop_.time().now() - asked_sources_at_ >= ask_interval_) {
        ask_sources();
        // Nobody who has not answered yet is kept busy by questions.
        const auto next = hears_a_source() ? std::min(settings_.pull_interval, 2 * ask_interval_) : ask_interval_;
        ask_interval_ = knows ? settings_.pull_interval : next;
    }
    look_timer_ = loop_.schedule(knows ? settings_.look_interval : settings_.start_interval, [this] { look(); });
}

bool record_relay::is_listed() const
{
    const auto listed = vms_.find(settings_.self.name);
    if (listed == vms_.end()) {
        return false;
    }
    // A start anew renews nothing: the turn is taken on from the row.
    listed_vm self = settings_.self;
    self.turn = std::max(self.turn, listed->second.turn);
    return listed->second == self;
}

std::chrono::milliseconds record_relay::own_part_of(std::chrono::milliseconds span) const
{
    constexpr std::uint64_t parts = 1024;
    return span * static_cast<std::int64_t>(stable_hash(settings_.self.name) % parts) /
           static_cast<std::int64_t>(parts);
}

/// VMs that start together each wait for another part of the spread; by the end most have heard of the first one.
bool record_relay::may_write_secret() const
{
    return loop_.time().now() - started_ >= own_part_of(settings_.secret_spread);
}

/// Opens the link once the secret is known, and sees to it that the list has this VM's row.
void record_relay::keep_listed()
{
    const steady_time now = loop_.time().now();
    if (writing_ || (write_after_ && now < *write_after_) || !follower(fleet_topic::vms).is_whole()) {
        return;
    }
    if (!secret_) {
        if (may_write_secret()) {
            write_secret();
        }
        return;
    }
    if (!link_) {
        open();
    }
    if (!link_ || is_listed() || (vms_.empty() && !may_write_secret())) {
        return;
    }
    write_row(fleet_topic::vms, write_vm(settings_.self));
}

void record_relay::write_secret()
{
    // It comes back through the follower, as does whatever it conflicts with; until then it is not written again.
    write_after_ = loop_.time().now() + settings_.write_retry;
    std::vector<keyed_record> records{{secret_key, make_secret(), 0}};
    if (!settings_.self.address.ends_with(":0")) {
        // With the address, the others have somebody to ask at once.
        records.push_back(write_vm(settings_.self));
    }
    // Only if the list is as it was read, so that VMs that start together agree on one.
    append(fleet_topic::vms, records, follower(fleet_topic::vms).end(), secret_key);
}

void record_relay::append(fleet_topic topic, const std::vector<keyed_record>& records,
                          std::optional<std::uint64_t> expected_end, const char* what)
{
    writing_ = true;
    store_.append(topic, records, expected_end, [this, self = self_, topic, records, what](append_result result) {
        if (*self == nullptr) {
            return;
        }
        writing_ = false;
        if (result == append_result::done || result == append_result::conflict) {
            return;
        }
        write_after_ = loop_.time().now() + settings_.write_retry;
        for (const keyed_record& record : records) {
            if (const auto row = rows_.find({static_cast<std::uint8_t>(topic), record.key}); row != rows_.end()) {
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
        write_after_ = loop_.time().now() + settings_.write_retry;
        log_event(log_severity::error, "peer_link_not_opened", {{"reason", opened.error().message}});
        return;
    }
    link_ = std::move(*opened);
    settings_.self.address = link_->address;
    log_event(log_severity::info, "peer_link_opened", {{"address", link_->address}});
}

double record_relay::place_of_turn(std::uint64_t matter) const
{
    const std::uint64_t own = combine_hashes(stable_hash(settings_.self.name), matter);
    if (vms_.empty()) {
        return static_cast<double>(own) / std::pow(2.0, 64);
    }
    const auto before = std::count_if(vms_.begin(), vms_.end(), [own, matter](const auto& entry) {
        return combine_hashes(stable_hash(entry.first), matter) < own;
    });
    return static_cast<double>(before) / static_cast<double>(vms_.size() + 1);
}

bool record_relay::is_silent(const std::string& name) const
{
    const auto found = silences_.find(name);
    return found != silences_.end() && loop_.time().now() < found->second.until;
}

void record_relay::leave_silent_sources()
{
    const steady_time now = loop_.time().now();
    std::erase_if(sources_, [&](const source& from) {
        const bool answers = now - from.heard_at.value_or(from.since) < settings_.answer_time;
        if (answers && !from.lost_store) {
            return false;
        }
        silence& known = silences_[from.vm.name];
        known.length =
            std::clamp(from.heard_at ? 0ms : 2 * known.length, settings_.silence_memory, settings_.longest_silence);
        known.until = now + known.length;
        link_->forget(from.vm.address);
        plan_.reset();
        log_event(log_severity::warning, "reader_left",
                  {{"vm", from.vm.name},
                   {"answers", answers},
                   {"hears_store", from.hears_store},
                   {"store_age_ms", store_age().count()},
                   {"for_ms", known.length.count()}});
        return true;
    });
    // Long after a silence its length is no longer doubled.
    std::erase_if(silences_, [&](const auto& entry) { return entry.second.until + settings_.longest_silence <= now; });
}

/// @return whom VMs ask now, worked out anew only when the list or what is silent has changed.
const reading_plan& record_relay::current_plan()
{
    const steady_time now = loop_.time().now();
    if (plan_ && now < plan_until_) {
        return *plan_;
    }
    if (order_.empty()) {
        // Once for all rows that came together, not for each.
        order_ = reading_order(vms_);
    }
    plan_ = plan_reading(order_, settings_.self.zone, [this](const std::string& name) { return is_silent(name); });
    plan_until_ = steady_time::max();
    for (const auto& [name, left] : silences_) {
        if (left.until > now) {
            plan_until_ = std::min(plan_until_, left.until);
        }
    }
    return *plan_;
}

void record_relay::choose_sources_anew()
{
    is_reader_ = false;
    if (!link_) {
        return;
    }
    const reading_plan& plan = current_plan();
    is_reader_ = std::any_of(plan.readers.begin(), plan.readers.end(),
                             [this](const listed_vm& vm) { return vm.name == settings_.self.name; });
    depth_ = depth_of(plan, settings_.self.name);
    std::vector<source> chosen;
    // A reader that hears the store needs nobody.
    const bool alone = is_reader_ && knows_all() && reads_fresh();
    for (listed_vm& vm : alone ? std::vector<listed_vm>{} : choose_sources(plan, settings_.self)) {
        const auto known =
            std::find_if(sources_.begin(), sources_.end(), [&vm](const source& from) { return from.vm == vm; });
        if (known != sources_.end()) {
            chosen.push_back(*known);
            continue;
        }
        source& added = chosen.emplace_back();
        added.vm = std::move(vm);
        added.since = loop_.time().now();
    }
    sources_ = std::move(chosen);
    if (!sources_.empty() && !first_asked_at_) {
        first_asked_at_ = loop_.time().now();
    }
}

void record_relay::decide_reading()
{
    if (is_reader_) {
        set_reading(true, "reader", "is a reader");
        return;
    }
    // Whoever the news came from: a VM that has just replaced another has the time that is left of it.
    if (passed_on_at_ && loop_.time().now() - *passed_on_at_ < patience()) {
        set_reading(false, "told", "others hear the store");
        if (store_age() > settings_.alone_time) {
            for (topic_follower* each : followers_) {
                each->note_not_passed_on();
            }
        }
        return;
    }
    if (!is_starting()) {
        set_reading(true, "alone", "no other VM hears the store");
        return;
    }
    if (!sources_.empty()) {
        // Whoever is asked tells of the list too.
        follower(fleet_topic::vms).set_reading(false);
    }
}

bool record_relay::hears_a_source() const
{
    return heard_source_at_ && loop_.time().now() - *heard_source_at_ < settings_.lonely_time;
}

std::chrono::milliseconds record_relay::patience() const
{
    if (!hears_a_source()) {
        return settings_.lonely_time;
    }
    if (depth_ == 0) {
        return settings_.alone_time;
    }
    return settings_.trust_time + own_part_of(settings_.trust_spread);
}

bool record_relay::is_starting() const
{
    if (passed_on_at_) {
        return false;
    }
    const steady_time now = loop_.time().now();
    if (!first_asked_at_) {
        return now - started_ < settings_.start_time;
    }
    return now - *first_asked_at_ < (hears_a_source() ? settings_.start_time : settings_.restart_time);
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
    // While the store is away, a VM looks for orders alone; the rest is read when it is back.
    const bool answers = follower(fleet_topic::operator_orders).is_reachable();
    const bool trusts = !is_reader_ && depth_ > 0 && hears_a_source();
    const auto longest_retry = trusts ? settings_.trusting_retry : settings_.reading_retry;
    for (std::size_t topic = 0; topic < fleet_topics; ++topic) {
        const bool leads = static_cast<fleet_topic>(topic) == fleet_topic::operator_orders;
        followers_[topic]->set_reading(reads && (leads || answers), longest_retry);
    }
}

} // namespace agatespar
