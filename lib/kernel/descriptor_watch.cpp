// GSource for one file descriptor whose conditions can be changed without creating a new source.
#include <agatespar/kernel/descriptor_watch.h>

#include <glib.h>

#include <cassert>

namespace agatespar {

namespace {

struct descriptor_source {
    GSource base;
    gpointer tag;
    // An owning raw pointer, since GLib allocates the source without running constructors.
    std::shared_ptr<descriptor_watch::callback>* on_ready;
};

} // namespace

static gboolean dispatch(GSource* source, GSourceFunc /*unused*/, gpointer /*unused*/)
{
    auto* self = reinterpret_cast<descriptor_source*>(source);
    const GIOCondition ready = g_source_query_unix_fd(source, self->tag);
    descriptor_events events;
    events.readable = (ready & G_IO_IN) != 0;
    events.writable = (ready & G_IO_OUT) != 0;
    events.ended = (ready & (G_IO_HUP | G_IO_ERR | G_IO_NVAL)) != 0;
    // The copy keeps the callback object alive if the callback destroys the watch.
    const auto on_ready = *self->on_ready;
    (*on_ready)(events);
    return G_SOURCE_CONTINUE;
}

static void finalize(GSource* source)
{
    delete reinterpret_cast<descriptor_source*>(source)->on_ready;
}

// Without prepare and check functions GLib dispatches the source whenever its descriptor is ready.
static GSourceFuncs source_functions{nullptr, nullptr, &dispatch, &finalize, nullptr, nullptr};

struct descriptor_watch::impl {
    descriptor_source* source;
};

descriptor_watch::descriptor_watch(int descriptor, callback on_ready) : impl_(std::make_unique<impl>())
{
    assert(descriptor >= 0 && "a watched descriptor is open");
    GSource* source = g_source_new(&source_functions, sizeof(descriptor_source));
    impl_->source = reinterpret_cast<descriptor_source*>(source);
    impl_->source->on_ready = new std::shared_ptr<callback>{std::make_shared<callback>(std::move(on_ready))};
    impl_->source->tag = g_source_add_unix_fd(source, descriptor, static_cast<GIOCondition>(0));
    g_source_attach(source, nullptr);
}

descriptor_watch::~descriptor_watch()
{
    g_source_destroy(&impl_->source->base);
    g_source_unref(&impl_->source->base);
}

void descriptor_watch::wait_for(bool readable, bool writable)
{
    const int conditions = (readable ? int{G_IO_IN} : 0) | (writable ? int{G_IO_OUT} : 0);
    g_source_modify_unix_fd(&impl_->source->base, impl_->source->tag, static_cast<GIOCondition>(conditions));
}

} // namespace agatespar
