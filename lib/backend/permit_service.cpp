// Combines the owner's and the holder's side of permits, and determines which servers this VM owns.
#include <agatespar/backend/permit_service.h>
#include <agatespar/membership/rendezvous.h>

#include <algorithm>
#include <utility>

namespace agatespar {

namespace {

// Entries of the zone's load table that are not renewed are deleted after this time.
constexpr std::chrono::minutes table_retention{5};

} // namespace

permit_service::permit_service(permit_service_settings settings, permit_holder::send_function send)
    : settings_(settings), send_(std::move(send)), owner_(settings.owner),
      holder_([this](boot_id to, message_kind kind, std::string payload) { send_(to, kind, std::move(payload)); },
              settings.holder)
{
}

void permit_service::set_servers(std::vector<backend_server> servers, steady_time now)
{
    servers_ = std::move(servers);
    assign(now);
}

void permit_service::set_view(std::span<const boot_id> owners, bool majority, steady_time now)
{
    majority_ = majority;
    owner_.set_zone_state(in_service_, majority_, now);
    if (!std::equal(owners.begin(), owners.end(), owners_.begin(), owners_.end())) {
        owners_.assign(owners.begin(), owners.end());
        assign(now);
    }
}

void permit_service::set_in_service(bool in_service, steady_time now)
{
    in_service_ = in_service;
    owner_.set_zone_state(in_service_, majority_, now);
}

void permit_service::on_presumed_dead(steady_time now)
{
    owner_.restart_takeovers(now);
    holder_.invalidate_all();
}

void permit_service::assign(steady_time now)
{
    const auto former = std::exchange(owner_by_server_, {});
    std::vector<backend_server> owned;
    for (const backend_server& server : servers_) {
        const auto owner = agatespar::owner_of(server.key.value(), owners_);
        if (!owner) {
            continue;
        }
        owner_by_server_[server.key] = *owner;
        const auto before = former.find(server.key);
        if (before == former.end() || before->second != *owner) {
            holder_.invalidate_server(server.key);
        }
        if (*owner == settings_.self) {
            owned.push_back(server);
        }
    }
    owner_.set_owned(owned, now);
    for (const backend_server& server : owned) {
        if (const auto known = table_.find(server.key)) {
            owner_.hint_limit(server.key, known->entry.limit, known->entry.start_tag);
        }
    }
}

std::optional<boot_id> permit_service::owner_of_server(server_key server) const
{
    const auto found = owner_by_server_.find(server);
    return found == owner_by_server_.end() ? std::nullopt : std::optional{found->second};
}

std::optional<permit> permit_service::try_acquire(server_key server, steady_time now)
{
    const auto owner = owner_by_server_.find(server);
    if (!in_service_ || owner == owner_by_server_.end()) {
        return std::nullopt;
    }
    const std::optional<permit> taken = holder_.try_acquire(server, owner->second, now);
    if (taken) {
        holder_.refill(server, owner->second, now);
    }
    return taken;
}

outcome<void> permit_service::request_permit(server_key server, bool alone, steady_time now, permit_callback callback)
{
    if (!in_service_) {
        return failure(error_code::unavailable, "the zone is out of service");
    }
    const auto owner = owner_by_server_.find(server);
    if (owner == owner_by_server_.end()) {
        return failure(error_code::unavailable, "the server is not known in this zone");
    }
    holder_.request_permit(server, owner->second, alone, now, std::move(callback));
    return {};
}

void permit_service::release(const permit& used, const permit_result& result, steady_time now)
{
    const bool reusable = in_service_ && owner_of_server(used.server) == used.owner;
    holder_.release(used, result, reusable, now);
}

void permit_service::on_message(boot_id from, message_kind kind, std::string_view payload, steady_time now)
{
    if (kind == message_kind::permit_request) {
        if (const auto request = decode<permit_request_message>(payload)) {
            send_(from, message_kind::permit_grant, encode(owner_.on_request(from, *request, now)));
            return;
        }
    }
    if (kind == message_kind::permit_release) {
        if (const auto release = decode<permit_release_message>(payload)) {
            owner_.on_release(from, *release, now);
            return;
        }
    }
    if (kind == message_kind::permit_grant) {
        if (const auto grant = decode<permit_grant_message>(payload)) {
            holder_.on_grant(from, *grant, now);
            return;
        }
    }
    ++undecodable_;
}

void permit_service::tick(steady_time now)
{
    for (const owner_notice& notice : owner_.tick(now)) {
        send_(notice.to, message_kind::permit_grant, encode(notice.message));
    }
    holder_.tick(now);
    table_.expire(now - table_retention);
}

static bool differ_materially(const std::vector<server_table_entry>& left, const std::vector<server_table_entry>& right)
{
    return !std::equal(left.begin(), left.end(), right.begin(), right.end(),
                       [](const auto& one, const auto& other) { return !differs_materially(one, other); });
}

bool permit_service::on_table(std::string_view sender, std::string_view bytes, steady_time now)
{
    const auto sender_id = decode<boot_id>(sender);
    const auto is_authoritative = [&](std::uint32_t key) {
        const bool known = table_.contains(key);
        const auto owned = std::find_if(owner_by_server_.begin(), owner_by_server_.end(),
                                        [key](const auto& entry) { return short_key(entry.first) == key; });
        return !known || owned == owner_by_server_.end() || (sender_id && owned->second == *sender_id);
    };
    return table_.merge(bytes, now, is_authoritative);
}

std::optional<gossip_item> permit_service::make_table_update(steady_time now, wall_time wall_now)
{
    if (published_at_ && now - *published_at_ < settings_.table_interval) {
        return std::nullopt;
    }
    std::vector<server_table_entry> entries;
    for (const owned_server_status& status : owner_.status()) {
        // During a take-over the limit is not known yet; it must not replace the one that the previous owner published.
        if (!status.taking_over) {
            entries.push_back({short_key(status.key), static_cast<std::uint16_t>(status.limit),
                               static_cast<std::uint16_t>(status.in_force), static_cast<std::uint16_t>(status.queued),
                               status.reachable, status.start ? start_tag_of(*status.start) : std::uint16_t{0}});
        }
    }
    const bool due = !published_at_ || now - *published_at_ >= settings_.table_refresh || is_repeating_table(now);
    if (entries.empty() || (!due && !differ_materially(entries, published_table_))) {
        return std::nullopt;
    }
    published_at_ = now;
    published_table_ = entries;
    server_table_message message{std::move(entries)};
    gossip_item item;
    item.kind = gossip_kind::server_table;
    item.name = encode(settings_.self);
    item.version = ++table_version_;
    const auto expires = (wall_now + 2 * settings_.table_refresh).time_since_epoch();
    item.expires = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(expires).count());
    item.bytes = encode(message);
    table_.merge(item.bytes, now);
    return item;
}

} // namespace agatespar
