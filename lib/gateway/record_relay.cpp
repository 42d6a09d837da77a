// Keeps this VM listed, chooses whom to ask, and decides whether to read the store itself.
#include <agatespar/gateway/record_relay.h>
#include <agatespar/telemetry/log.h>

#include <sodium.h>

#include <algorithm>

namespace agatespar {

using namespace std::chrono_literals;

// Two, so that one reader that was just cut off from the store leaves nobody behind.
static constexpr std::size_t most_sources = 2;
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
    for (auto* timer : {&look_timer_, &tell_timer_}) {
        if (*timer) {
            loop_.cancel(**timer);
        }
    }
}

void record_relay::start()
{
    started_ = loop_.time().now();
    follower(fleet_topic::vms).set_reading(true);
    look();
}

void record_relay::take_vm_record(const keyed_record& record)
{
    if (record.key == secret_key) {
        secret_ = record.value;
        return;
    }
    if (!record.value) {
        std::erase_if(vms_, [&record](const auto& entry) { return vm_record_key(entry.first) == record.key; });
    }
    else if (auto vm = read_vm(record)) {
        vms_[vm->name] = std::move(*vm);
    }
    else {
        log_event(log_severity::warning, "vm_record_unreadable", {{"key", record.key}, {"reason", vm.error().message}});
        return;
    }
    order_.clear();
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
    forget_old_askers();
    leave_silent_sources();
    choose_sources_anew();
    decide_reading();
    const bool has_new = std::any_of(sources_.begin(), sources_.end(), [](const source& from) { return !from.asked; });
    const bool knows = knows_all();
    const auto interval = knows ? settings_.pull_interval : settings_.start_interval;
    if (has_new || loop_.time().now() - asked_sources_at_ >= interval) {
        ask_sources();
    }
    look_timer_ = loop_.schedule(knows ? settings_.look_interval : settings_.start_interval, [this] { look(); });
}

/// Opens the link once the secret is known, and writes what the list lacks of this VM.
void record_relay::keep_listed()
{
    const steady_time now = loop_.time().now();
    if (writing_ || (write_after_ && now < *write_after_) || !follower(fleet_topic::vms).is_whole()) {
        return;
    }
    if (!secret_) {
        // Written only if the list is as it was read, so that VMs that start together agree on one.
        append({secret_key, make_secret(), 0}, follower(fleet_topic::vms).end(), secret_key);
        return;
    }
    if (!link_) {
        open();
    }
    if (!link_) {
        return;
    }
    const auto listed = vms_.find(settings_.self.name);
    if (listed == vms_.end() || listed->second != settings_.self) {
        append(write_vm(settings_.self), std::nullopt, "own row");
    }
}

void record_relay::append(const keyed_record& record, std::optional<std::uint64_t> expected_end, const char* what)
{
    writing_ = true;
    store_.append(fleet_topic::vms, record, expected_end, [this, self = self_, what](append_result result) {
        if (*self == nullptr) {
            return;
        }
        writing_ = false;
        // It comes back through the follower; until then, and after a failure, it is not written again. Whatever it
        // conflicted with comes as well, and is looked at first.
        if (result != append_result::conflict) {
            write_after_ = loop_.time().now() + settings_.write_retry;
        }
        if (result != append_result::done && result != append_result::conflict) {
            log_event(log_severity::warning, "vm_list_not_written",
                      {{"what", what}, {"unknown", result == append_result::unknown}});
        }
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

bool record_relay::is_silent(const std::string& name) const
{
    const auto found = silences_.find(name);
    return found != silences_.end() && loop_.time().now() < found->second.until;
}

void record_relay::leave_silent_sources()
{
    const steady_time now = loop_.time().now();
    std::erase_if(sources_, [&](const source& from) {
        if (now - from.fresh_at.value_or(from.since) < settings_.answer_time) {
            return false;
        }
        silence& known = silences_[from.vm.name];
        known.length =
            std::clamp(from.fresh_at ? 0ms : 2 * known.length, settings_.silence_memory, settings_.longest_silence);
        known.until = now + known.length;
        link_->forget(from.vm.address);
        log_event(log_severity::warning, "reader_left",
                  {{"vm", from.vm.name},
                   {"answers", from.heard_at && now - *from.heard_at < settings_.answer_time},
                   {"hears_store", from.hears_store},
                   {"store_age_ms", from.store_age.count()},
                   {"for_ms", known.length.count()}});
        return true;
    });
    // Long after a silence its length is no longer doubled.
    std::erase_if(silences_, [&](const auto& entry) { return entry.second.until + settings_.longest_silence <= now; });
}

void record_relay::choose_sources_anew()
{
    is_reader_ = false;
    if (!link_) {
        return;
    }
    if (order_.empty()) {
        // Once for all rows that came together, not for each.
        order_ = reading_order(vms_);
    }
    const auto readers = choose_readers(order_, [this](const std::string& name) { return is_silent(name); });
    is_reader_ = std::any_of(readers.begin(), readers.end(),
                             [this](const listed_vm& vm) { return vm.name == settings_.self.name; });
    std::vector<source> chosen;
    // A reader that hears the store needs nobody.
    const bool alone = is_reader_ && hears_store();
    for (listed_vm& vm : choose_sources(readers, settings_.self, alone ? 0 : most_sources)) {
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
}

void record_relay::decide_reading()
{
    if (is_reader_) {
        set_reading(true, "is a reader");
        return;
    }
    if (!askers_.empty()) {
        set_reading(true, "is asked");
        return;
    }
    // Whoever the news came from: a reader that has just replaced another has the time that is left of them.
    if (fresh_at_ && loop_.time().now() - *fresh_at_ < settings_.answer_time) {
        set_reading(false, "a reader has fresh news");
        return;
    }
    if (!is_starting()) {
        set_reading(true, "no reader has fresh news");
    }
}

bool record_relay::is_starting() const
{
    const auto wait = vms_.contains(settings_.self.name) ? settings_.restart_time : settings_.start_time;
    return loop_.time().now() - started_ < wait;
}

void record_relay::set_reading(bool reads, const char* reason)
{
    if (reads != reads_store_) {
        log_event(log_severity::info, reads ? "store_reading_begun" : "store_reading_left",
                  {{"reason", reason}, {"vms", static_cast<std::uint64_t>(vms_.size())}});
    }
    reads_store_ = reads;
    // While the store is away, each VM looks for orders and servers alone; the rest is read when it is back.
    const bool answers =
        follower(fleet_topic::operator_orders).is_reachable() || follower(fleet_topic::servers).is_reachable();
    for (std::size_t topic = 0; topic < fleet_topics; ++topic) {
        const auto which = static_cast<fleet_topic>(topic);
        const bool leads = which == fleet_topic::operator_orders || which == fleet_topic::servers;
        followers_[topic]->set_reading(reads && (leads || answers));
    }
}

} // namespace agatespar
