// Tests of the metrics and of their rendering as Prometheus text.
#include <agatespar/telemetry/metrics.h>

#include <catch2/catch.hpp>

#include <cstdlib>
#include <limits>
#include <new>

using namespace agatespar;

// Number of allocations, counted by the replaced global operators new below.
static std::size_t allocations = 0;

void* operator new(std::size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc{};
}

void* operator new(std::size_t size, const std::nothrow_t& /*tag*/) noexcept
{
    ++allocations;
    return std::malloc(size);
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

SCENARIO("metrics are rendered as Prometheus text")
{
    metrics_registry registry;
    registry.make_counter("agatespar_requests_total", "Requests.", {{"fleet", "a\"\\\n"}}).add(3);
    registry.make_gauge("agatespar_permits", "Permits\nheld.").set(2.5);
    histogram& latency = registry.make_histogram("agatespar_latency_seconds", "Latency.", {0.1, 1.0}, {{"class", "x"}});
    for (const double value : {0.05, 0.1, 0.5, 3.0, std::numeric_limits<double>::quiet_NaN()}) {
        latency.record(value);
    }
    CHECK(render_prometheus(registry) == "# HELP agatespar_requests_total Requests.\n"
                                         "# TYPE agatespar_requests_total counter\n"
                                         "agatespar_requests_total{fleet=\"a\\\"\\\\\\n\"} 3\n"
                                         "# HELP agatespar_permits Permits\\nheld.\n"
                                         "# TYPE agatespar_permits gauge\n"
                                         "agatespar_permits 2.5\n"
                                         "# HELP agatespar_latency_seconds Latency.\n"
                                         "# TYPE agatespar_latency_seconds histogram\n"
                                         "agatespar_latency_seconds_bucket{class=\"x\",le=\"0.1\"} 2\n"
                                         "agatespar_latency_seconds_bucket{class=\"x\",le=\"1\"} 3\n"
                                         "agatespar_latency_seconds_bucket{class=\"x\",le=\"+Inf\"} 4\n"
                                         "agatespar_latency_seconds_sum{class=\"x\"} 3.65\n"
                                         "agatespar_latency_seconds_count{class=\"x\"} 4\n");
}

SCENARIO("the number of series of a metric is bounded")
{
    metrics_registry registry;
    GIVEN("more label values than a metric may have series")
    {
        for (std::size_t name = 0; name < metrics_registry::max_series + 100; ++name) {
            registry.make_counter("c", "", {{"model", std::to_string(name)}}).add();
        }
        THEN("the excess label values share one series, and the existing series stay separate")
        {
            CHECK(registry.make_counter("c", "", {{"model", "one more"}}).value == 100);
            CHECK(registry.make_counter("c", "", {{"model", "0"}}).value == 1);
        }
    }
}

SCENARIO("counting does not allocate memory")
{
    metrics_registry registry;
    counter& requests = registry.make_counter("c", "");
    gauge& permits = registry.make_gauge("g", "");
    histogram& latency = registry.make_histogram("h", "", latency_bounds());
    const std::size_t before = allocations;
    for (int count = 0; count < 1000; ++count) {
        requests.add();
        permits.set(count);
        latency.record(count * 0.01);
    }
    const std::size_t after = allocations;
    CHECK(after == before);
    CHECK(latency.count() == 1000);
}
