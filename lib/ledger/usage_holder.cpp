// Stores copies of other VMs' usage records and finds those whose release is overdue.
#include <agatespar/ledger/usage_holder.h>

namespace agatespar {

void usage_holder::hold(boot_id from, const usage_record& record, steady_time now)
{
    held_[{from, record.sequence}] = entry{record, now + max_hold_, false};
}

std::vector<usage_record> usage_holder::take_over(boot_id member)
{
    std::vector<usage_record> records;
    const auto first = held_.lower_bound({member, usage_sequence{}});
    auto last = first;
    for (; last != held_.end() && last->first.first == member; ++last) {
        records.push_back(std::move(last->second.record));
    }
    held_.erase(first, last);
    return records;
}

usage_holder::overdue_records usage_holder::collect_overdue(steady_time now)
{
    overdue_records overdue;
    for (auto item = held_.begin(); item != held_.end();) {
        entry& held = item->second;
        if (held.due > now) {
            ++item;
            continue;
        }
        if (held.queried) {
            overdue.take_over.push_back(std::move(held.record));
            item = held_.erase(item);
            continue;
        }
        held.queried = true;
        held.due = now + max_hold_;
        overdue.query.push_back(item->first);
        ++item;
    }
    return overdue;
}

} // namespace agatespar
