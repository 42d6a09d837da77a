// Counters, gauges and histograms (from Boost.Histogram), by name and labels.
#include <agatespar/telemetry/metrics.h>

#include <boost/histogram.hpp>

#include <cassert>
#include <charconv>
#include <cmath>
#include <limits>

namespace agatespar {

namespace {

using bucket_axis = boost::histogram::axis::variable<double>;
using bucket_counts =
    boost::histogram::histogram<std::tuple<bucket_axis>, boost::histogram::dense_storage<std::uint64_t>>;

} // namespace

// @return the edges of the axis. A bucket of the axis excludes its upper edge, while a Prometheus bucket includes its
// upper bound.
static std::vector<double> exclusive_edges(const std::vector<double>& bounds)
{
    std::vector<double> edges;
    edges.reserve(bounds.size());
    for (const double bound : bounds) {
        edges.push_back(std::nextafter(bound, std::numeric_limits<double>::infinity()));
    }
    return edges;
}

struct histogram::impl {
    explicit impl(const std::vector<double>& upper_bounds)
        : bounds(upper_bounds), counts(std::make_tuple(bucket_axis(exclusive_edges(upper_bounds))))
    {
    }

    std::vector<double> bounds;
    bucket_counts counts;
    std::uint64_t count{0};
    double sum{0.0};
};

histogram::histogram(const std::vector<double>& bounds)
{
    assert(bounds.size() >= 2 && "a histogram has at least two bounds");
    impl_ = std::make_unique<impl>(bounds);
}

histogram::~histogram() = default;

void histogram::record(double value) noexcept
{
    if (!std::isfinite(value)) {
        return;
    }
    impl_->counts(value);
    ++impl_->count;
    impl_->sum += value;
}

std::uint64_t histogram::count() const
{
    return impl_->count;
}

double histogram::sum() const
{
    return impl_->sum;
}

std::uint64_t histogram::cumulative_count(std::size_t bucket) const
{
    // Index -1 is the underflow bucket, below the first edge.
    std::uint64_t total = 0;
    for (int index = -1; index < static_cast<int>(bucket); ++index) {
        total += impl_->counts.at(index);
    }
    return total;
}

const std::vector<double>& histogram::bounds() const
{
    return impl_->bounds;
}

std::vector<double> latency_bounds()
{
    return {0.001, 0.002, 0.005, 0.01, 0.02, 0.038, 0.05, 0.1, 0.2, 0.31, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 120.0};
}

metrics_registry::metrics_registry() = default;
metrics_registry::~metrics_registry() = default;

template <class Metric, class... Arguments>
Metric& metrics_registry::find_or_make(families<Metric>& all, std::string_view name, std::string_view help,
                                       metric_labels labels, const Arguments&... arguments)
{
    auto found = all.find(name);
    if (found == all.end()) {
        found = all.emplace(std::string{name}, family<Metric>{std::string{help}, {}}).first;
    }
    auto& series = found->second.series;
    if (!series.contains(labels) && series.size() >= max_series) {
        for (metric_label& label : labels) {
            label.value = "other";
        }
    }
    std::unique_ptr<Metric>& metric = series[std::move(labels)];
    if (!metric) {
        metric = std::make_unique<Metric>(arguments...);
    }
    return *metric;
}

counter& metrics_registry::make_counter(std::string_view name, std::string_view help, metric_labels labels)
{
    assert(!gauges_.contains(name) && !histograms_.contains(name) && "a name has one metric type");
    return find_or_make(counters_, name, help, std::move(labels));
}

gauge& metrics_registry::make_gauge(std::string_view name, std::string_view help, metric_labels labels)
{
    assert(!counters_.contains(name) && !histograms_.contains(name) && "a name has one metric type");
    return find_or_make(gauges_, name, help, std::move(labels));
}

histogram& metrics_registry::make_histogram(std::string_view name, std::string_view help,
                                            const std::vector<double>& bounds, metric_labels labels)
{
    assert(!counters_.contains(name) && !gauges_.contains(name) && "a name has one metric type");
    return find_or_make(histograms_, name, help, std::move(labels), bounds);
}

static std::string escape(std::string_view text, bool with_quotes)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '\n') {
            escaped += "\\n";
            continue;
        }
        if (c == '\\' || (with_quotes && c == '"')) {
            escaped += '\\';
        }
        escaped += c;
    }
    return escaped;
}

static std::string format_number(double value)
{
    std::array<char, 32> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
    return std::string{digits.data(), end};
}

static std::string format_labels(const metric_labels& labels, std::string_view upper_bound = {})
{
    std::string text;
    for (const metric_label& label : labels) {
        text += (text.empty() ? "" : ",") + label.name + "=\"" + escape(label.value, true) + "\"";
    }
    if (!upper_bound.empty()) {
        text += (text.empty() ? "" : ",") + std::string{"le=\""}.append(upper_bound) + "\"";
    }
    return text.empty() ? text : "{" + text + "}";
}

static void render_series(std::string& text, const std::string& name, const metric_labels& labels,
                          const counter& metric)
{
    text += name + format_labels(labels) + " " + std::to_string(metric.value) + "\n";
}

static void render_series(std::string& text, const std::string& name, const metric_labels& labels, const gauge& metric)
{
    text += name + format_labels(labels) + " " + format_number(metric.value) + "\n";
}

static void render_series(std::string& text, const std::string& name, const metric_labels& labels,
                          const histogram& metric)
{
    for (std::size_t bucket = 0; bucket < metric.bounds().size(); ++bucket) {
        text += name + "_bucket" + format_labels(labels, format_number(metric.bounds()[bucket])) + " " +
                std::to_string(metric.cumulative_count(bucket)) + "\n";
    }
    text += name + "_bucket" + format_labels(labels, "+Inf") + " " + std::to_string(metric.count()) + "\n";
    text += name + "_sum" + format_labels(labels) + " " + format_number(metric.sum()) + "\n";
    text += name + "_count" + format_labels(labels) + " " + std::to_string(metric.count()) + "\n";
}

template <class Families>
static void render_families(std::string& text, const Families& families, std::string_view type)
{
    for (const auto& [name, family] : families) {
        text += "# HELP " + name + " " + escape(family.help, false) + "\n";
        text += "# TYPE " + name + " " + std::string{type} + "\n";
        for (const auto& [labels, metric] : family.series) {
            render_series(text, name, labels, *metric);
        }
    }
}

std::string render_prometheus(const metrics_registry& registry)
{
    std::string text;
    render_families(text, registry.counters_, "counter");
    render_families(text, registry.gauges_, "gauge");
    render_families(text, registry.histograms_, "histogram");
    return text;
}

} // namespace agatespar
