// Assigns connections to calls within the limits.
#include "http_connection_pool.h"

#include <agatespar/telemetry/log.h>

#include <algorithm>

namespace agatespar {

http_connection_pool::http_connection_pool(event_loop& loop, const gio_http_settings& settings)
    : loop_(loop), settings_(settings)
{
    GError* problem = nullptr;
    if (!settings.tls_ca_file.empty()) {
        trusted_ = g_tls_file_database_new(settings.tls_ca_file.c_str(), &problem);
    }
    if (problem != nullptr) {
        log_event(log_severity::error, "tls_ca_file_unreadable", {{"reason", problem->message}});
        g_error_free(problem);
    }
    source_.request = [this](const std::shared_ptr<http_call>& call) {
        waiting_.push_back(call);
        assign_connections();
    };
    source_.give_back = [this](const http_origin& origin, const std::shared_ptr<gio_connection>& connection) {
        add_idle(origin, connection);
        assign_connections();
    };
}

http_connection_pool::~http_connection_pool()
{
    waiting_.clear();
    while (close_oldest_idle(nullptr)) {
    }
    g_clear_object(&trusted_);
}

void http_connection_pool::assign_connections()
{
    if (is_assigning_) {
        return;
    }
    is_assigning_ = true;
    std::erase_if(waiting_, [this](const auto& call) { return call->is_done() || try_assign(call); });
    is_assigning_ = false;
}

bool http_connection_pool::try_assign(const std::shared_ptr<http_call>& call)
{
    if (!call->needs_new_connection()) {
        if (auto idle = take_idle(call->origin())) {
            call->use(std::move(idle), true);
            return true;
        }
    }
    if (!make_room(call->origin())) {
        return false;
    }
    call->use(open(call->origin()), false);
    return true;
}

bool http_connection_pool::make_room(const http_origin& origin)
{
    const auto to_server = open_by_origin_.find(origin);
    if (to_server != open_by_origin_.end() && to_server->second >= settings_.max_connections_per_server) {
        return close_oldest_idle(&origin);
    }
    return open_ < settings_.max_connections || close_oldest_idle(nullptr);
}

std::shared_ptr<gio_connection> http_connection_pool::open(const http_origin& origin)
{
    ++open_;
    ++open_by_origin_[origin];
    auto connection = std::make_shared<gio_connection>([this, origin] {
        --open_;
        if (--open_by_origin_[origin] == 0) {
            open_by_origin_.erase(origin);
        }
        assign_connections();
    });
    connection->open(origin, trusted_);
    return connection;
}

void http_connection_pool::add_idle(const http_origin& origin, const std::shared_ptr<gio_connection>& connection)
{
    const auto to_server = [&origin](const auto& each) { return each.origin == origin; };
    if (static_cast<std::size_t>(std::count_if(idle_.begin(), idle_.end(), to_server)) >=
        settings_.max_idle_per_server) {
        connection->close();
        return;
    }
    connection->set_callbacks({});
    connection->pause();
    const timer_id expiry =
        loop_.schedule(settings_.idle_connection_timeout, [this, each = connection.get()] { drop_idle(each); });
    idle_.push_back({origin, connection, expiry});
}

void http_connection_pool::drop_idle(const gio_connection* connection)
{
    const auto found = std::find_if(idle_.begin(), idle_.end(),
                                    [connection](const auto& each) { return each.connection.get() == connection; });
    if (found != idle_.end()) {
        const idle_connection dropped = *found;
        idle_.erase(found);
        loop_.cancel(dropped.expiry);
        dropped.connection->close();
    }
}

std::shared_ptr<gio_connection> http_connection_pool::take_idle(const http_origin& origin)
{
    for (;;) {
        // The newest is used first, so that the others can expire.
        const auto newest =
            std::find_if(idle_.rbegin(), idle_.rend(), [&origin](const auto& each) { return each.origin == origin; });
        if (newest == idle_.rend()) {
            return nullptr;
        }
        auto connection = std::move(newest->connection);
        loop_.cancel(newest->expiry);
        idle_.erase(std::next(newest).base());
        if (connection->resume()) {
            return connection;
        }
    }
}

/// @param origin the server, or null for any. @return whether there was one.
bool http_connection_pool::close_oldest_idle(const http_origin* origin)
{
    const auto oldest = std::find_if(
        idle_.begin(), idle_.end(), [origin](const auto& each) { return origin == nullptr || each.origin == *origin; });
    if (oldest == idle_.end()) {
        return false;
    }
    drop_idle(oldest->connection.get());
    return true;
}

} // namespace agatespar
