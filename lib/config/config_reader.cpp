// The part of config_reader that reads the log.
#include <agatespar/config/config_reader.h>
#include <agatespar/config/snapshot_store.h>
#include <agatespar/telemetry/log.h>

#include <algorithm>
#include <utility>

namespace agatespar {

// Interval at which the reader checks whether it has to read the log.
static constexpr std::chrono::milliseconds check_interval{200};
static constexpr std::size_t max_read_records = 256;

config_reader::config_reader(event_loop& loop, config_reader_environment environment,
                             const config_reader_settings& settings, std::mt19937_64& random)
    : loop_(loop), environment_(std::move(environment)), settings_(settings), random_(random),
      read_limit_(max_read_records), retry_delay_(settings.min_retry_delay), next_call_at_(loop.time().now()),
      last_ready_peer_at_(loop.time().now()), last_contact_at_(loop.time().now()),
      alive_(std::make_shared<const bool>(true))
{
}

config_reader::~config_reader()
{
    loop_.cancel(call_timer_);
    loop_.cancel(check_timer_);
}

void config_reader::start()
{
    schedule_check();
}

void config_reader::schedule_check()
{
    check_timer_ = loop_.schedule(check_interval, [this] {
        read_log_if_due();
        schedule_check();
    });
}

void config_reader::set_tailing(bool tailing)
{
    if (tailing == tailing_) {
        return;
    }
    tailing_ = tailing;
    next_call_at_ = loop_.time().now();
    announced_offset_ = state_.covers;
    log_event(log_severity::info, "config_tailing", {{"tailing", tailing}});
}

bool config_reader::peers_timed_out() const
{
    return loop_.time().now() - last_ready_peer_at_ >= settings_.peer_timeout;
}

bool config_reader::should_read_log() const
{
    return tailing_ || peers_timed_out() || contact_age() >= settings_.stale_read_interval;
}

void config_reader::read_log_if_due()
{
    retry_pull();
    if (call_in_progress_ || loop_.time().now() < next_call_at_ || !should_read_log()) {
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
    call_in_progress_ = true;
    const std::uint64_t call = ++last_call_;
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
    call_in_progress_ = false;
    loop_.cancel(call_timer_);
    next_call_at_ = loop_.time().now() + pause;
    if (pause == std::chrono::milliseconds::zero()) {
        read_log_if_due();
    }
}

void config_reader::call_failed(const error& problem)
{
    ++counters_.read_errors;
    // An answer that exceeded the client's size limit is requested again with fewer records.
    read_limit_ = problem.code == error_code::too_large ? std::max<std::size_t>(read_limit_ / 2, 1) : max_read_records;
    const bool contact_is_stale = !tailing_ && !peers_timed_out();
    const auto max_delay = contact_is_stale ? settings_.stale_read_interval : retry_delay_;
    end_call(std::chrono::milliseconds{
        std::uniform_int_distribution<std::int64_t>{max_delay.count() / 2, max_delay.count()}(random_)});
    retry_delay_ = std::min(retry_delay_ * 2, settings_.max_retry_delay);
}

void config_reader::read_log()
{
    const auto wait = tailing_ ? settings_.read_wait : std::chrono::milliseconds::zero();
    const std::uint64_t call = begin_call(wait + settings_.read_timeout);
    environment_.log.read({config_stream, log_offset{state_.covers.value() + 1}, read_limit_, wait},
                          [this, call, alive = std::weak_ptr<const bool>{alive_}](const outcome<read_batch>& batch) {
                              if (alive.expired() || !is_current(call)) {
                                  return;
                              }
                              if (!batch) {
                                  call_failed(batch.error());
                                  return;
                              }
                              retry_delay_ = settings_.min_retry_delay;
                              handle_batch(*batch);
                          });
}

void config_reader::handle_batch(const read_batch& batch)
{
    const bool regressed = batch.next.value() <= state_.covers.value();
    if (regressed != std::exchange(log_regressed_, regressed)) {
        counters_.log_regressions += regressed ? 1 : 0;
        log_event(regressed ? log_severity::error : log_severity::info, "config_log_regressed",
                  {{"regressed", regressed}, {"covers", state_.covers.value()}, {"next", batch.next.value()}});
    }
    if (regressed) {
        end_call(settings_.max_retry_delay);
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
        end_call(settings_.max_retry_delay);
        return;
    }
    if (state_.stopped_by_rules != 0) {
        end_call(settings_.stale_read_interval);
        return;
    }
    if (batch.next.value() == state_.covers.value() + 1) {
        update_last_contact(loop_.time().now());
        set_ready();
    }
    end_call(tailing_ || batch.next.value() > state_.covers.value() + 1 ? std::chrono::milliseconds::zero()
                                                                        : settings_.max_retry_delay);
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
    read_newest_snapshot(environment_.log,
                         [this, call, alive = std::weak_ptr<const bool>{alive_}](const outcome<found_snapshot>& found) {
                             if (alive.expired() || !is_current(call)) {
                                 return;
                             }
                             if (!found) {
                                 call_failed(found.error());
                                 return;
                             }
                             retry_delay_ = settings_.min_retry_delay;
                             handle_snapshot(*found);
                         });
}

void config_reader::handle_snapshot(const found_snapshot& found)
{
    counters_.log_bytes += found.bytes;
    // Without a usable snapshot, the log's records may still suffice. If they do not, the next read sets this again.
    need_snapshot_ = false;
    if (found.snapshot) {
        const auto before = state_.current;
        const adoption_result result = adopt_snapshot(state_, history_, found.snapshot->state);
        counters_.snapshots_loaded += result == adoption_result::adopted ? 1 : 0;
        count(result, {boot_id{}, found.snapshot->state.current->number, 0, {}, false, 0});
        publish(before);
    }
    end_call(std::chrono::milliseconds::zero());
}

} // namespace agatespar
