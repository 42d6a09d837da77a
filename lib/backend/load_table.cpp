// Merges load tables and corrects delayed load reports.
#include <agatespar/backend/load_table.h>

#include <algorithm>
#include <cstdlib>

namespace agatespar {

namespace {

// A change of the limit, or of the load relative to the limit, is published if it exceeds this fraction.
constexpr double material_change_fraction = 0.5;

} // namespace

bool load_table::merge(std::string_view bytes, steady_time now, const authority_check& is_authoritative)
{
    const auto message = decode<server_table_message>(bytes);
    if (!message) {
        return false;
    }
    for (const server_table_entry& entry : message->servers) {
        if (!is_authoritative || is_authoritative(entry.key)) {
            entries_[entry.key] = received_load{entry, now};
        }
    }
    return true;
}

std::optional<received_load> load_table::find(server_key server) const
{
    const auto found = entries_.find(short_key(server));
    return found == entries_.end() ? std::nullopt : std::optional{found->second};
}

void load_table::expire(steady_time older_than)
{
    std::erase_if(entries_, [older_than](const auto& each) { return each.second.received < older_than; });
}

std::uint32_t short_key(server_key server)
{
    return static_cast<std::uint32_t>(server.value());
}

static double load_share(const server_table_entry& entry)
{
    const double load = entry.in_force + entry.queued;
    return load / std::max<double>(entry.limit, 1.0);
}

bool differs_materially(const server_table_entry& left, const server_table_entry& right)
{
    const double smaller_limit = std::min(left.limit, right.limit);
    const bool limit_moved = std::abs(left.limit - right.limit) > material_change_fraction * smaller_limit;
    return left.key != right.key || left.healthy != right.healthy || left.start_tag != right.start_tag || limit_moved ||
           std::abs(load_share(left) - load_share(right)) > material_change_fraction;
}

std::uint32_t corrected_load(std::uint32_t reported, std::span<const steady_time> sent,
                             std::span<const steady_time> ended, steady_time reported_at)
{
    const auto is_after_report = [reported_at](steady_time each) { return each > reported_at; };
    const auto sent_since_report = static_cast<std::uint32_t>(std::count_if(sent.begin(), sent.end(), is_after_report));
    const auto ended_since_report =
        static_cast<std::uint32_t>(std::count_if(ended.begin(), ended.end(), is_after_report));
    return reported + sent_since_report - std::min(reported + sent_since_report, ended_since_report);
}

} // namespace agatespar
