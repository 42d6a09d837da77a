// Implements timers, descriptor watches and signal handlers with GLib sources.
#include <agatespar/kernel/glib_event_loop.h>

#include <glib-unix.h>
#include <glib.h>

#include <vector>

namespace agatespar {

struct glib_event_loop::impl {
    struct timer {
        impl* owner;
        std::uint64_t id;
        guint source;
        std::function<void()> callback;
    };
    struct watch {
        guint source;
        std::function<void()> callback;
    };

    GMainLoop* loop{g_main_loop_new(nullptr, FALSE)};
    std::uint64_t last_timer{0};
    std::unordered_map<std::uint64_t, std::unique_ptr<timer>> timers;
    std::vector<std::unique_ptr<watch>> watches;

    static gboolean fire_timer(gpointer data)
    {
        auto* due = static_cast<timer*>(data);
        // The timer is removed from the table first, so that the callback may schedule and cancel any timer.
        auto node = due->owner->timers.extract(due->id);
        node.mapped()->callback();
        return G_SOURCE_REMOVE;
    }
    static gboolean fire_descriptor(gint /*descriptor*/, GIOCondition /*condition*/, gpointer data)
    {
        static_cast<watch*>(data)->callback();
        return G_SOURCE_CONTINUE;
    }
    static gboolean fire_signal(gpointer data)
    {
        static_cast<watch*>(data)->callback();
        return G_SOURCE_CONTINUE;
    }
};

glib_event_loop::glib_event_loop() : impl_(std::make_unique<impl>()) {}

glib_event_loop::~glib_event_loop()
{
    for (const auto& [id, timer] : impl_->timers) {
        g_source_remove(timer->source);
    }
    for (const auto& watch : impl_->watches) {
        g_source_remove(watch->source);
    }
    g_main_loop_unref(impl_->loop);
}

timer_id glib_event_loop::schedule(duration delay, std::function<void()> callback)
{
    const std::uint64_t id = ++impl_->last_timer;
    auto entry = std::make_unique<impl::timer>();
    entry->owner = impl_.get();
    entry->id = id;
    entry->callback = std::move(callback);
    const auto delay_ms = std::chrono::ceil<std::chrono::milliseconds>(delay).count();
    const auto interval = static_cast<guint>(delay_ms > 0 ? delay_ms : 0);
    entry->source = g_timeout_add(interval, &impl::fire_timer, entry.get());
    impl_->timers.emplace(id, std::move(entry));
    return timer_id{id};
}

void glib_event_loop::cancel(timer_id timer)
{
    const auto found = impl_->timers.find(timer.value());
    if (found == impl_->timers.end()) {
        return;
    }
    g_source_remove(found->second->source);
    impl_->timers.erase(found);
}

watch_id glib_event_loop::watch_readable(int descriptor, std::function<void()> callback)
{
    auto entry = std::make_unique<impl::watch>();
    entry->callback = std::move(callback);
    entry->source = g_unix_fd_add(descriptor, G_IO_IN, &impl::fire_descriptor, entry.get());
    const watch_id id{entry->source};
    impl_->watches.push_back(std::move(entry));
    return id;
}

void glib_event_loop::unwatch(watch_id watch)
{
    g_source_remove(watch.value());
    std::erase_if(impl_->watches, [watch](const auto& entry) { return entry->source == watch.value(); });
}

void glib_event_loop::watch_signal(int signal_number, std::function<void()> callback)
{
    auto entry = std::make_unique<impl::watch>();
    entry->callback = std::move(callback);
    entry->source = g_unix_signal_add(signal_number, &impl::fire_signal, entry.get());
    impl_->watches.push_back(std::move(entry));
}

void glib_event_loop::run()
{
    g_main_loop_run(impl_->loop);
}

void glib_event_loop::quit()
{
    g_main_loop_quit(impl_->loop);
}

} // namespace agatespar
