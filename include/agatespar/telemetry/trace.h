// Tracing of requests: W3C trace contexts, a bounded recorder of spans, and their export as OTLP/JSON.
#pragma once

#include <agatespar/support/clock.h>
#include <agatespar/support/strong_type.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace agatespar {

/// Invalid if both halves are zero.
struct trace_id {
    std::uint64_t high{0};
    std::uint64_t low{0};

    friend bool operator==(const trace_id&, const trace_id&) = default;
};

/// Zero is invalid.
using span_id = strong<struct span_id_tag, std::uint64_t>;

/// The part of a trace that is propagated with a request from hop to hop.
struct trace_context {
    trace_id trace;
    span_id span;
    bool sampled{false};

    friend bool operator==(const trace_context&, const trace_context&) = default;
};

/// @param header untrusted, as in https://www.w3.org/TR/trace-context/#traceparent-header.
/// @return the context, or nothing if the header is malformed.
std::optional<trace_context> parse_traceparent(std::string_view header);
/// @return the value of the header, in version 00.
std::string format_traceparent(const trace_context& context);

enum class span_kind {
    internal = 1,
    server = 2,
    client = 3,
};

struct span_attribute {
    std::string name;
    std::string value;
};

/// One hop of a request.
struct span {
    trace_context context;
    /// Zero for the first span of a trace.
    span_id parent;
    std::string name;
    span_kind kind{span_kind::internal};
    wall_time start;
    wall_time end;
    std::vector<span_attribute> attributes;
    /// Empty if the hop succeeded.
    std::string error;
};

struct trace_settings {
    /// Maximum number of spans that are kept until the next export; beyond this, the oldest are dropped.
    std::size_t capacity{4096};
    /// Fraction of new traces that are recorded, from 0 to 1. A context that a client sent keeps its own sampled flag.
    double sample_fraction{0.01};
};

/// Creates contexts and keeps finished spans until they are exported.
class span_recorder {
public:
    span_recorder(trace_settings settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

    /// @return the context of a new trace's first span.
    trace_context start_trace();
    /// @return the context of a new span in the parent's trace.
    trace_context start_child(const trace_context& parent);

    /// Keeps a finished span if its trace is sampled.
    void record(span finished);
    /// Removes all kept spans. @return them.
    std::vector<span> take();

    /// @return the number of sampled spans that were dropped before they were exported.
    std::uint64_t dropped() const { return dropped_; }

private:
    span_id new_span_id();

    trace_settings settings_;
    std::mt19937_64 random_;
    std::deque<span> spans_;
    std::uint64_t dropped_{0};
};

/// @param service the service.name of the resource. @param instance the service.instance.id of the resource.
/// @return the spans as an OTLP/JSON ExportTraceServiceRequest on one line.
std::string to_otlp_json(const std::vector<span>& spans, std::string_view service, std::string_view instance);

/// Receives one batch as OTLP/JSON, e.g. appends it to a file or posts it to a collector.
using span_sink = std::function<void(std::string json)>;

/// @return a sink that appends each batch as one line to a file. A batch that cannot be written is dropped.
span_sink make_file_span_sink(std::string path);

/// Passes the spans that the recorder keeps to the sink; does nothing if there are none.
void export_spans(span_recorder& recorder, std::string_view service, std::string_view instance, const span_sink& sink);

} // namespace agatespar
