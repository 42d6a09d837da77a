// Counters, gauges and histograms, and their rendering as Prometheus text.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace agatespar {

struct metric_label {
    std::string name;
    std::string value;

    friend auto operator<=>(const metric_label&, const metric_label&) = default;
    friend bool operator==(const metric_label&, const metric_label&) = default;
};

using metric_labels = std::vector<metric_label>;

/// Counts events; never decreases.
struct counter {
    std::uint64_t value{0};

    void add(std::uint64_t count = 1) noexcept { value += count; }
};

/// A value that goes up and down.
struct gauge {
    double value{0.0};

    void set(double new_value) noexcept { value = new_value; }
    void add(double step) noexcept { value += step; }
};

/// Counts observations in buckets. Recording does not allocate memory.
class histogram {
public:
    /// @param bounds the upper bounds of the buckets, ascending, at least two.
    explicit histogram(const std::vector<double>& bounds);
    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;
    ~histogram();

    void record(double value) noexcept;

    std::uint64_t count() const;
    double sum() const;
    /// @return the number of observations up to and including a bucket's upper bound. @param bucket from 0 to
    /// bounds().size() - 1.
    std::uint64_t cumulative_count(std::size_t bucket) const;
    const std::vector<double>& bounds() const;

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

/// Bucket bounds in seconds for latencies from a millisecond to two minutes.
std::vector<double> latency_bounds();

/// Owns all metrics of a process. References to metrics are valid until the registry is destroyed.
class metrics_registry {
public:
    /// Maximum number of series of one metric. Further label values share one series whose label values are all
    /// "other", so that clients can't exhaust the memory with ever new values.
    static constexpr std::size_t max_series = 256;

    metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;
    ~metrics_registry();

    /// @param name in Prometheus style, e.g. "agatespar_requests_total". One name has one type.
    /// @return the series; the same one for the same name and labels.
    counter& make_counter(std::string_view name, std::string_view help, metric_labels labels = {});
    gauge& make_gauge(std::string_view name, std::string_view help, metric_labels labels = {});
    /// @param bounds upper bounds of the buckets; used only when the series is created.
    histogram& make_histogram(std::string_view name, std::string_view help, const std::vector<double>& bounds,
                              metric_labels labels = {});

private:
    friend std::string render_prometheus(const metrics_registry& registry);

    template <class Metric>
    struct family {
        std::string help;
        std::map<metric_labels, std::unique_ptr<Metric>> series;
    };
    template <class Metric>
    using families = std::map<std::string, family<Metric>, std::less<>>;

    template <class Metric, class... Arguments>
    static Metric& find_or_make(families<Metric>& all, std::string_view name, std::string_view help,
                                metric_labels labels, const Arguments&... arguments);

    families<counter> counters_;
    families<gauge> gauges_;
    families<histogram> histograms_;
};

/// @return all metrics in the Prometheus text exposition format 0.0.4.
std::string render_prometheus(const metrics_registry& registry);

} // namespace agatespar
