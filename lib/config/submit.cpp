// Submits a patch and waits until the log contains its verdict.
#include "log_catch_up.h"

#include <agatespar/config/config_reader.h>
#include <agatespar/config/submit.h>

#include <cassert>
#include <utility>

namespace agatespar {

void fetch_state(event_loop& loop, const log_service& log, const log_access_settings& settings,
                 std::function<void(outcome<fold_state>)> callback)
{
    const auto catch_up = std::make_shared<log_catch_up>(loop, log, settings);
    const timer_id timer = loop.schedule(settings.give_up, [catch_up, callback] {
        catch_up->stop();
        callback(failure(error_code::unavailable, "the log could not be read: " + catch_up->last_error().message));
    });
    catch_up->run([&loop, timer, catch_up, callback](const outcome<void>& result) {
        loop.cancel(timer);
        catch_up->stop();
        if (!result) {
            callback(tl::make_unexpected(result.error()));
            return;
        }
        callback(catch_up->state());
    });
}

namespace {

// The submission of one patch. Its pending callbacks keep the object alive until it has reported.
class submission : public std::enable_shared_from_this<submission> {
public:
    submission(event_loop& loop, log_service log, patch change, const log_access_settings& settings,
               std::function<void(submit_report)> callback)
        : loop_(loop), log_(std::move(log)), change_(std::move(change)), settings_(settings),
          callback_(std::move(callback)), catch_up_(std::make_shared<log_catch_up>(loop, log_, settings))
    {
    }

    void start()
    {
        deadline_ = loop_.schedule(settings_.give_up, [self = shared_from_this()] { self->give_up(); });
        continue_reading();
    }

private:
    void continue_reading();
    void handle_read_result(const outcome<void>& result);
    void append();
    void give_up();
    void finish(submit_status status, std::string reason);
    bool finish_if_decided();

    event_loop& loop_;
    log_service log_;
    patch change_;
    log_access_settings settings_;
    std::function<void(submit_report)> callback_;
    std::shared_ptr<log_catch_up> catch_up_;
    timer_id deadline_;
    unsigned appends_{0};
    bool append_failed_{true};
    bool done_{false};
};

} // namespace

static submit_status status_of(verdict_kind kind)
{
    switch (kind) {
    case verdict_kind::accepted:
        return submit_status::accepted;
    case verdict_kind::conflict:
        return submit_status::conflict;
    case verdict_kind::invalid:
    case verdict_kind::malformed:
        return submit_status::invalid;
    case verdict_kind::too_new:
        return submit_status::too_new;
    }
    assert(false && "every verdict has a status");
    return submit_status::unknown;
}

void submission::continue_reading()
{
    catch_up_->run([self = shared_from_this()](const outcome<void>& result) { self->handle_read_result(result); });
}

void submission::handle_read_result(const outcome<void>& result)
{
    if (done_) {
        return;
    }
    if (!result) {
        finish(appends_ == 0 ? submit_status::unreachable : submit_status::unknown, result.error().message);
        return;
    }
    if (finish_if_decided()) {
        return;
    }
    if (append_failed_) {
        append();
        return;
    }
    // The append was confirmed, so the record becomes readable soon.
    loop_.schedule(settings_.retry, [self = shared_from_this()] {
        if (!self->done_) {
            self->continue_reading();
        }
    });
}

bool submission::finish_if_decided()
{
    const fold_state& state = catch_up_->state();
    if (const patch_verdict* verdict = find_verdict(state, change_.id); verdict != nullptr) {
        finish(status_of(verdict->kind), verdict->reason);
        return true;
    }
    if (state.stopped_by_rules != 0) {
        finish(submit_status::too_new, "the log requires fold rules version " + std::to_string(state.stopped_by_rules) +
                                           ", but this program has version " + std::to_string(fold_rules_version));
        return true;
    }
    // Once the number has changed, this patch can only be a conflict, even if it appears in the log later.
    if (state.current->number != change_.base) {
        finish(submit_status::conflict, "written against " + std::to_string(change_.base.value()) + ", current is " +
                                            std::to_string(state.current->number.value()));
        return true;
    }
    if (appends_ > 0) {
        return false;
    }
    const outcome<configuration> applied = apply_patch(*state.current, change_);
    if (!applied) {
        finish(submit_status::invalid, applied.error().message);
    }
    return !applied;
}

void submission::append()
{
    ++appends_;
    log_.append({config_stream, {format_patch(change_)}},
                [self = shared_from_this()](const outcome<append_receipt>& receipt) {
                    if (self->done_) {
                        return;
                    }
                    self->append_failed_ = !receipt;
                    const auto pause = receipt ? std::chrono::milliseconds::zero() : self->settings_.retry;
                    self->loop_.schedule(pause, [self] {
                        if (!self->done_) {
                            self->continue_reading();
                        }
                    });
                });
}

void submission::give_up()
{
    if (appends_ == 0) {
        finish(submit_status::unreachable, "the log could not be read: " + catch_up_->last_error().message);
        return;
    }
    finish(submit_status::unknown, "the patch was submitted, but its verdict could not be read from the log in time");
}

void submission::finish(submit_status status, std::string reason)
{
    done_ = true;
    loop_.cancel(deadline_);
    catch_up_->stop();
    submit_report report{change_.id, status, catch_up_->state().current->number, std::move(reason), {}, appends_};
    const patch_verdict* own = find_verdict(catch_up_->state(), change_.id);
    if (status == submit_status::accepted) {
        report.number = own->number;
    }
    for (const patch_verdict& verdict : catch_up_->state().verdicts) {
        if (status == submit_status::conflict && verdict.kind == verdict_kind::accepted &&
            verdict.number > change_.base) {
            report.accepted_since_base.push_back(verdict);
        }
    }
    const auto callback = std::exchange(callback_, nullptr);
    callback(std::move(report));
}

void submit_patch(event_loop& loop, const log_service& log, const patch& change, const log_access_settings& settings,
                  std::function<void(submit_report)> callback)
{
    std::make_shared<submission>(loop, log, change, settings, std::move(callback))->start();
}

std::string_view to_string(submit_status status)
{
    switch (status) {
    case submit_status::accepted:
        return "accepted";
    case submit_status::conflict:
        return "conflict";
    case submit_status::invalid:
        return "invalid";
    case submit_status::too_new:
        return "too_new";
    case submit_status::unreachable:
        return "unreachable";
    case submit_status::unknown:
        return "unknown";
    }
    assert(false && "every status has a name");
    return "unknown";
}

} // namespace agatespar
