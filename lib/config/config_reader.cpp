// The part of config_reader that reads the log.
#include <agatespar/config/config_reader.h>
#include <agatespar/config/snapshot_store.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>
#include <utility>

namespace agatespar {

// Interval at which the reader checks whether it has to read the log.
static constexpr std::chrono::milliseconds tick_interval{200};
static constexpr std::size_t max_read_records = 256;

config_reader::config_reader(event_loop& loop, config_reader_seams seams, const config_reader_settings& settings,
                             std::mt19937_64& random)
    : loop_(loop), seams_(std::move(seams)), settings_(settings), random_(random), read_limit_(max_read_records),
      retry_(settings.min_retry), next_call_(loop.time().now()), last_peer_(loop.time().now()),
      last_contact_(loop.time().now()), alive_(std::make_shared<const bool>(true))
{
}

config_reader::~config_reader()
{
    loop_.cancel(call_timer_);
    loop_.cancel(tick_timer_);
}

void config_reader::start()
{
    schedule_tick();
}

void config_reader::schedule_tick()
{
    tick_timer_ = loop_.schedule(tick_interval, [this] {
        step();
        schedule_tick();
    });
}

void config_reader::set_tailing(bool tailing)
{
    if (tailing == tailing_) {
        return;
    }
    tailing_ = tailing;
    next_call_ = loop_.time().now();
    announced_ = state_.covers;
    log_event(log_severity::info, "config_tailing", {{"tailing", tailing}});
}

bool config_reader::peers_silent() const
{
    return loop_.time().now() - last_peer_ >= settings_.peer_silence;
}

bool config_reader::wants_log() const
{
    return tailing_ || peers_silent() || contact_age() >= settings_.stale_probe;
}

void config_reader::step()
{
    repeat_pull();
    if (call_running_ || loop_.time().now() < next_call_ || !wants_log()) {
        return;
    }
    if (need_snapshot_) {
        load_snapshot();
        return;
    }
    read_log();
}

std::uint64_t config_reader::begin_call(std::chrono::milliseconds timeout)
{
    call_running_ = true;
    const std::uint64_t call = ++call_;
    ++counters_.reads;
    call_timer_ = loop_.schedule(timeout, [this, call] {
        if (is_current(call)) {
            call_failed(error{error_code::deadline_exceeded, "the log did not answer in time", run_state::not_run,
                              std::nullopt});
        }
    });
    return call;
}

void config_reader::end_call(std::chrono::milliseconds pause)
{
    call_running_ = false;
    loop_.cancel(call_timer_);
    next_call_ = loop_.time().now() + pause;
    if (pause == std::chrono::milliseconds::zero()) {
        step();
    }
}

void config_reader::call_failed(const error& problem)
{
    ++counters_.read_errors;
    // An answer that exceeded the client's size limit is requested again with fewer records.
    read_limit_ = problem.code == error_code::too_large ? std::max<std::size_t>(read_limit_ / 2, 1) : max_read_records;
    const bool probing = !tailing_ && !peers_silent();
    const auto longest = probing ? settings_.stale_probe : retry_;
    end_call(std::chrono::milliseconds{
        std::uniform_int_distribution<std::int64_t>{longest.count() / 2, longest.count()}(random_)});
    retry_ = std::min(retry_ * 2, settings_.max_retry);
}

void config_reader::read_log()
{
    const auto wait = tailing_ ? settings_.read_wait : std::chrono::milliseconds::zero();
    const std::uint64_t call = begin_call(wait + settings_.read_timeout);
    seams_.log.read({config_stream, log_offset{state_.covers.value() + 1}, read_limit_, wait},
                    [this, call, alive = std::weak_ptr<const bool>{alive_}](const outcome<read_batch>& batch) {
                        if (alive.expired() || !is_current(call)) {
                            return;
                        }
                        if (!batch) {
                            call_failed(batch.error());
                            return;
                        }
                        retry_ = settings_.min_retry;
                        take_batch(*batch);
                    });
}

void config_reader::take_batch(const read_batch& batch)
{
    const bool regressed = batch.next.value() <= state_.covers.value();
    if (regressed != std::exchange(log_regressed_, regressed)) {
        counters_.log_regressions += regressed ? 1 : 0;
        log_event(regressed ? log_severity::error : log_severity::info, "config_log_regressed",
                  {{"regressed", regressed}, {"covers", state_.covers.value()}, {"next", batch.next.value()}});
    }
    if (regressed) {
        end_call(settings_.max_retry);
        return;
    }
    const bool trimmed = !fold_batch(batch);
    if (trimmed && !trimmed_) {
        ++counters_.trimmed;
        log_event(log_severity::warning, "config_log_trimmed",
                  {{"covers", state_.covers.value()}, {"first_retained", batch.first_retained.value()}});
    }
    trimmed_ = trimmed;
    if (trimmed) {
        need_snapshot_ = true;
        end_call(settings_.max_retry);
        return;
    }
    if (state_.stopped_by_rules != 0) {
        end_call(settings_.stale_probe);
        return;
    }
    if (batch.next.value() == state_.covers.value() + 1) {
        note_contact(loop_.time().now());
        become_ready();
    }
    end_call(tailing_ || batch.next.value() > state_.covers.value() + 1 ? std::chrono::milliseconds::zero()
                                                                        : settings_.max_retry);
}

bool config_reader::fold_batch(const read_batch& batch)
{
    const auto before = state_.current;
    const bool was_stopped = state_.stopped_by_rules != 0;
    bool contiguous = batch.first_retained.value() <= state_.covers.value() + 1;
    for (const log_record& record : batch.records) {
        counters_.log_bytes += record.payload.size();
        if (record.offset <= state_.covers) {
            continue;
        }
        contiguous = record.offset.value() == state_.covers.value() + 1;
        if (!contiguous) {
            break;
        }
        const fold_result result = fold(state_, record);
        if (result.verdict.kind != verdict_kind::too_new || !was_stopped) {
            count(result);
        }
        if (state_.stopped_by_rules != 0) {
            break;
        }
        history_.add(record);
    }
    publish(before);
    announce_records();
    return contiguous;
}

void config_reader::load_snapshot()
{
    const std::uint64_t call = begin_call(3 * settings_.read_timeout);
    read_newest_snapshot(seams_.log,
                         [this, call, alive = std::weak_ptr<const bool>{alive_}](const outcome<found_snapshot>& found) {
                             if (alive.expired() || !is_current(call)) {
                                 return;
                             }
                             if (!found) {
                                 call_failed(found.error());
                                 return;
                             }
                             retry_ = settings_.min_retry;
                             take_snapshot(*found);
                         });
}

void config_reader::take_snapshot(const found_snapshot& found)
{
    counters_.log_bytes += found.bytes;
    // Without a usable snapshot, the log's records may still suffice. If they do not, the next read sets this again.
    need_snapshot_ = false;
    if (found.snapshot) {
        const auto before = state_.current;
        const adoption result = adopt_snapshot(state_, history_, found.snapshot->state);
        counters_.snapshots_loaded += result == adoption::adopted ? 1 : 0;
        count(result, {boot_id{}, found.snapshot->state.current->number, 0, {}, false, 0});
        publish(before);
    }
    end_call(std::chrono::milliseconds::zero());
}

} // namespace agatespar
