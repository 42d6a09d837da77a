// Reads the newest snapshot, then the log's records after it.
#include "log_catch_up.h"

#include <agatespar/config/config_reader.h>
#include <agatespar/config/snapshot_store.h>

#include <utility>

namespace agatespar {

log_catch_up::log_catch_up(event_loop& loop, log_service log, const log_access_settings& settings)
    : loop_(loop), log_(std::move(log)), settings_(settings)
{
}

void log_catch_up::run(std::function<void(outcome<void>)> callback)
{
    callback_ = std::move(callback);
    if (!snapshot_read_) {
        load_snapshot();
        return;
    }
    read();
}

void log_catch_up::stop()
{
    stopped_ = true;
    // The callback may own a reference to this object.
    callback_ = nullptr;
}

void log_catch_up::finish(outcome<void> result)
{
    const auto callback = std::exchange(callback_, nullptr);
    callback(std::move(result));
}

void log_catch_up::retry(const error& problem, void (log_catch_up::*step)())
{
    last_error_ = problem;
    loop_.schedule(settings_.retry, [self = shared_from_this(), step] {
        if (!self->stopped_) {
            (self.get()->*step)();
        }
    });
}

void log_catch_up::load_snapshot()
{
    read_newest_snapshot(log_, [self = shared_from_this()](const outcome<found_snapshot>& found) {
        if (self->stopped_) {
            return;
        }
        if (!found) {
            self->retry(found.error(), &log_catch_up::load_snapshot);
            return;
        }
        self->snapshot_read_ = true;
        if (found->snapshot && found->snapshot->state.covers > self->state_.covers) {
            self->state_ = found->snapshot->state;
        }
        self->read();
    });
}

void log_catch_up::read()
{
    log_.read({config_stream, log_offset{state_.covers.value() + 1}},
              [self = shared_from_this()](const outcome<read_batch>& batch) {
                  if (self->stopped_) {
                      return;
                  }
                  if (!batch) {
                      self->retry(batch.error(), &log_catch_up::read);
                      return;
                  }
                  self->handle_batch(*batch);
              });
}

void log_catch_up::handle_batch(const read_batch& batch)
{
    if (batch.first_retained.value() > state_.covers.value() + 1) {
        finish(failure(error_code::not_found, "the log's records after offset " +
                                                  std::to_string(state_.covers.value()) +
                                                  " have expired and no later snapshot can be read"));
        return;
    }
    for (const log_record& record : batch.records) {
        if (record.offset > state_.covers && state_.stopped_by_rules == 0) {
            fold(state_, record);
        }
    }
    if (state_.stopped_by_rules != 0 || batch.next.value() <= state_.covers.value() + 1) {
        finish({});
        return;
    }
    read();
}

} // namespace agatespar
