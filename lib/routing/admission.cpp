// Admission control: refuses requests that would wait in the queue for longer than their deadline allows.
#include <agatespar/routing/admission.h>

#include <algorithm>

namespace agatespar {

// Requests with more slack than this use the start rate with the long time constant.
static constexpr std::chrono::seconds long_slack{60};

admission::admission(duration time_constant, duration long_time_constant)
    : queues_(max_classes, class_queue{0, start_rate{time_constant}, start_rate{long_time_constant}})
{
}

void admission::on_started(class_index request_class, steady_time now)
{
    class_queue& each = queues_[request_class.value()];
    each.short_term.count(now);
    each.long_term.count(now);
}

void admission::on_queued(class_index request_class)
{
    ++queues_[request_class.value()].queued;
}

void admission::on_dequeued(class_index request_class, bool started, steady_time now)
{
    class_queue& each = queues_[request_class.value()];
    each.queued -= std::min<std::size_t>(each.queued, 1);
    if (started)
        on_started(request_class, now);
}

admission_verdict admission::evaluate(class_index request_class, duration service, steady_time deadline,
                                      steady_time now) const
{
    const class_queue& each = queues_[request_class.value()];
    const duration slack = deadline - now - service;
    const start_rate& rate = slack > long_slack ? each.long_term : each.short_term;
    return evaluate_wait(each.queued, rate.per_second(now), slack);
}

} // namespace agatespar
