// Finds the newest snapshot in the log, and writes new ones.
#include <agatespar/config/snapshot_store.h>

#include <utility>

namespace agatespar {

// An offset after the end of any stream that JSON numbers still represent exactly.
static constexpr log_offset beyond_end{std::uint64_t{1} << 53U};
static constexpr int max_unreadable_snapshots = 8;

namespace {

// A search for a readable snapshot, from the newest to older ones.
struct snapshot_search {
    log_service log;
    std::function<void(outcome<found_snapshot>)> callback;
    std::size_t bytes{0};
    int tries_left{max_unreadable_snapshots};
};

} // namespace

static void read_snapshot_at(const std::shared_ptr<snapshot_search>& search, log_offset offset)
{
    search->log.read({config_snapshot_stream, offset, 1}, [search, offset](const outcome<read_batch>& batch) {
        if (!batch) {
            search->callback(tl::make_unexpected(batch.error()));
            return;
        }
        if (batch->records.empty()) {
            search->callback(found_snapshot{std::nullopt, search->bytes});
            return;
        }
        search->bytes += batch->records.front().payload.size();
        outcome<config_snapshot> snapshot = parse_snapshot(batch->records.front().payload);
        if (snapshot) {
            search->callback(found_snapshot{std::move(*snapshot), search->bytes});
            return;
        }
        if (--search->tries_left == 0 || offset <= batch->first_retained) {
            search->callback(found_snapshot{std::nullopt, search->bytes});
            return;
        }
        read_snapshot_at(search, log_offset{offset.value() - 1});
    });
}

void read_newest_snapshot(const log_service& log, std::function<void(outcome<found_snapshot>)> callback)
{
    const auto search = std::make_shared<snapshot_search>(snapshot_search{log, std::move(callback)});
    log.read({config_snapshot_stream, beyond_end, 1}, [search](const outcome<read_batch>& batch) {
        if (!batch) {
            search->callback(tl::make_unexpected(batch.error()));
            return;
        }
        if (batch->next <= batch->first_retained) {
            search->callback(found_snapshot{});
            return;
        }
        read_snapshot_at(search, log_offset{batch->next.value() - 1});
    });
}

snapshot_writer::snapshot_writer(event_loop& loop, log_service log, const config_reader& reader,
                                 const snapshot_writer_settings& settings, std::mt19937_64& random)
    : loop_(loop), log_(std::move(log)), reader_(reader), settings_(settings), random_(random),
      alive_(std::make_shared<const bool>(true))
{
}

snapshot_writer::~snapshot_writer()
{
    loop_.cancel(timer_);
}

void snapshot_writer::start()
{
    timer_ = loop_.schedule(settings_.check_interval, [this] {
        check();
        start();
    });
}

bool snapshot_writer::is_due() const
{
    if (!reader_.tailing() || !reader_.ready() || reader_.state().covers.value() == 0) {
        return false;
    }
    const std::uint64_t covers = reader_.state().covers.value();
    return covers >= newest_offset_.value() + settings_.max_records ||
           loop_.time().wall_now() - newest_written_at_ >= settings_.max_age;
}

void snapshot_writer::check()
{
    if (write_pending_ || !is_due()) {
        return;
    }
    write_pending_ = true;
    const std::chrono::milliseconds pause{
        std::uniform_int_distribution<std::int64_t>{0, settings_.max_write_delay.count()}(random_)};
    loop_.schedule(pause, [this, alive = std::weak_ptr<const bool>{alive_}] {
        if (alive.expired()) {
            return;
        }
        read_newest_snapshot(log_, [this, alive](const outcome<found_snapshot>& found) {
            if (!alive.expired()) {
                write_if_still_due(found);
            }
        });
    });
}

void snapshot_writer::set_newest(const config_snapshot& snapshot)
{
    newest_offset_ = snapshot.state.covers;
    newest_written_at_ = snapshot.written_at;
}

void snapshot_writer::write_if_still_due(const outcome<found_snapshot>& found)
{
    write_pending_ = false;
    if (!found) {
        ++counters_.failed;
        return;
    }
    counters_.bytes_read += found->bytes;
    if (found->snapshot) {
        set_newest(*found->snapshot);
    }
    if (!is_due()) {
        ++counters_.skipped;
        return;
    }
    const config_snapshot snapshot{reader_.state(), loop_.time().wall_now()};
    write_pending_ = true;
    log_.append({config_snapshot_stream, {format_snapshot(snapshot)}},
                [this, alive = std::weak_ptr<const bool>{alive_}, snapshot](const outcome<append_receipt>& receipt) {
                    if (alive.expired()) {
                        return;
                    }
                    write_pending_ = false;
                    if (!receipt) {
                        // The snapshot may have been written all the same. The next check reads before it writes again.
                        ++counters_.failed;
                        return;
                    }
                    ++counters_.written;
                    set_newest(snapshot);
                });
}

} // namespace agatespar
