// Reads usage totals once, or preserves them beyond the log's retention by roll-ups.
#include <agatespar/ledger/usage_follower.h>
#include <agatespar/ledger/usage_reader.h>

namespace agatespar {

void read_usage_totals(const log_service& log, usage_totals_callback callback)
{
    const auto follower = std::make_shared<usage_follower>(log);
    follower->catch_up([weak = std::weak_ptr(follower), callback = std::move(callback)](const outcome<void>& result) {
        if (!result) {
            callback(tl::make_unexpected(result.error()));
            return;
        }
        callback(weak.lock()->state().totals);
    });
}

class usage_rollup::impl : public std::enable_shared_from_this<usage_rollup::impl> {
public:
    impl(event_loop& loop, const log_service& log, usage_rollup_settings settings)
        : loop_(loop), log_(log), settings_(settings), follower_(std::make_shared<usage_follower>(log))
    {
    }

    void start()
    {
        running_ = true;
        last_rollup_ = loop_.time().now();
        pass();
    }
    void stop() { running_ = false; }
    const usage_fold_state& state() const { return follower_->state(); }
    std::uint64_t written() const { return written_; }

private:
    void pass();
    void write_if_due();

    event_loop& loop_;
    log_service log_;
    usage_rollup_settings settings_;
    std::shared_ptr<usage_follower> follower_;
    bool running_{false};
    bool writing_{false};
    steady_time last_rollup_;
    std::uint64_t written_{0};
};

void usage_rollup::impl::pass()
{
    follower_->catch_up([weak = weak_from_this()](const outcome<void>& result) {
        const auto self = weak.lock();
        if (!self || !self->running_) {
            return;
        }
        if (result) {
            self->write_if_due();
        }
        self->loop_.schedule(self->settings_.read_interval, [weak] {
            const auto again = weak.lock();
            if (again && again->running_) {
                again->pass();
            }
        });
    });
}

void usage_rollup::impl::write_if_due()
{
    const steady_time now = loop_.time().now();
    if (writing_ || now - last_rollup_ < settings_.rollup_interval) {
        return;
    }
    writing_ = true;
    log_.append({usage_totals_stream(), {encode_usage_rollup(state())}},
                [weak = weak_from_this(), now](const outcome<append_receipt>& receipt) {
                    const auto self = weak.lock();
                    if (!self) {
                        return;
                    }
                    self->writing_ = false;
                    // After a failure, the next pass writes the roll-up again.
                    if (receipt) {
                        self->last_rollup_ = now;
                        ++self->written_;
                    }
                });
}

usage_rollup::usage_rollup(event_loop& loop, const log_service& log, usage_rollup_settings settings)
    : impl_(std::make_shared<impl>(loop, log, settings))
{
}

usage_rollup::~usage_rollup()
{
    impl_->stop();
}

void usage_rollup::start()
{
    impl_->start();
}

void usage_rollup::stop()
{
    impl_->stop();
}

const usage_fold_state& usage_rollup::state() const
{
    return impl_->state();
}

std::uint64_t usage_rollup::written() const
{
    return impl_->written();
}

} // namespace agatespar
