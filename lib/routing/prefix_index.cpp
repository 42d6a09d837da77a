// A bounded index of the prompt prefixes in the servers' caches.
#include <agatespar/routing/prefix_index.h>

#include <bit>

namespace agatespar {

prefix_index::prefix_index(std::size_t sets, duration lifetime)
    : lifetime_(lifetime), entries_(std::bit_ceil(sets) * ways())
{
}

std::size_t prefix_index::first_of_set(std::uint64_t prefix) const
{
    const std::size_t sets = entries_.size() / ways();
    return (prefix & (sets - 1)) * ways();
}

void prefix_index::insert_prefix(std::uint64_t prefix, server_index server, std::uint32_t tokens, steady_time now)
{
    if (prefix == 0)
        return;
    const std::size_t first = first_of_set(prefix);
    entry* oldest = &entries_[first];
    for (std::size_t way = 0; way < ways(); ++way) {
        entry& each = entries_[first + way];
        if (each.prefix == prefix && each.server == server) {
            oldest = &each;
            break;
        }
        if (each.prefix == 0 || (oldest->prefix != 0 && each.last_confirmed_at < oldest->last_confirmed_at))
            oldest = &each;
    }
    *oldest = {prefix, now, tokens, server};
}

void prefix_index::erase_prefix(std::uint64_t prefix, server_index server)
{
    const std::size_t first = first_of_set(prefix);
    for (std::size_t way = 0; way < ways(); ++way) {
        entry& each = entries_[first + way];
        if (each.prefix == prefix && each.server == server)
            each = {};
    }
}

void prefix_index::erase_server(server_index server)
{
    for (entry& each : entries_) {
        if (each.server == server)
            each = {};
    }
}

prefix_holders prefix_index::find(std::uint64_t prefix, steady_time now) const
{
    prefix_holders found;
    if (prefix == 0)
        return found;
    const std::size_t first = first_of_set(prefix);
    for (std::size_t way = 0; way < ways(); ++way) {
        const entry& each = entries_[first + way];
        if (each.prefix == prefix && now - each.last_confirmed_at <= lifetime_)
            found.items[found.count++] = {each.server, each.tokens};
    }
    return found;
}

} // namespace agatespar
