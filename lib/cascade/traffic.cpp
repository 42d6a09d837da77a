// Counts requests and tokens per request class and VM. VMs merge each other's counts by maximum.
#include <agatespar/cascade/traffic.h>

#include <algorithm>

namespace agatespar {

traffic_counts::traffic_counts(boot_id own, std::size_t classes) : own_(own), totals_(classes)
{
    rows_[own_].resize(classes);
}

static void add(class_tally& to, const class_tally& more)
{
    to.answers += more.answers;
    to.prompt_tokens += more.prompt_tokens;
    to.output_tokens += more.output_tokens;
}

void traffic_counts::record(class_index request_class, std::uint64_t prompt_tokens, std::uint64_t output_tokens)
{
    const class_tally one{1, prompt_tokens, output_tokens};
    add(rows_.at(own_)[request_class.value()], one);
    add(totals_[request_class.value()], one);
}

void traffic_counts::merge(boot_id vm, std::span<const class_tally> row)
{
    if (vm == own_ || row.size() != totals_.size())
        return;
    std::vector<class_tally>& known = rows_[vm];
    known.resize(totals_.size());
    for (std::size_t i = 0; i < row.size(); ++i) {
        const class_tally merged{std::max(known[i].answers, row[i].answers),
                                 std::max(known[i].prompt_tokens, row[i].prompt_tokens),
                                 std::max(known[i].output_tokens, row[i].output_tokens)};
        add(totals_[i], {merged.answers - known[i].answers, merged.prompt_tokens - known[i].prompt_tokens,
                         merged.output_tokens - known[i].output_tokens});
        known[i] = merged;
    }
}

double traffic_counts::mean_output_tokens(class_index request_class, double default_value) const
{
    const class_tally& each = total(request_class);
    return each.answers > 0 ? static_cast<double>(each.output_tokens) / static_cast<double>(each.answers)
                            : default_value;
}

double traffic_counts::mean_tokens(class_index request_class, double default_value) const
{
    const class_tally& each = total(request_class);
    if (each.answers == 0)
        return default_value;
    return static_cast<double>(each.prompt_tokens + each.output_tokens) / static_cast<double>(each.answers);
}

} // namespace agatespar
