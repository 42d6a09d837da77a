// Spans of requests: W3C trace context, a bounded recorder, and export as OTLP/JSON.
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

/// Zero in both halves is not a trace.
struct trace_id {
    std::uint64_t high{0};
    std::uint64_t low{0};

    friend bool operator==(const trace_id&, const trace_id&) = default;
};

/// Zero is not a span.
using span_id = strong<struct span_id_tag, std::uint64_t>;

/// What travels with a request from hop to hop.
struct trace_context {
    trace_id trace;
    span_id span;
    bool sampled{false};

    friend bool operator==(const trace_context&, const trace_context&) = default;
};

/// @param header untrusted, as in https://www.w3.org/TR/trace-context/#traceparent-header.
/// @return nothing for a header that is not well-formed.
std::optional<trace_context> parse_traceparent(std::string_view header);
/// @return the header's value in version 00.
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
    /// The spans that are kept until the next export; the oldest give way.
    std::size_t capacity{4096};
    /// The share of new traces that are recorded, from 0 to 1. A context from outside keeps its own flag.
    double sample_share{0.01};
};

/// Makes contexts and keeps finished spans until they are exported.
class span_recorder {
public:
    span_recorder(trace_settings settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

    /// @return the context of a new trace's first span.
    trace_context start_trace();
    /// @return the context of a new span in the parent's trace.
    trace_context start_child(const trace_context& parent);

    /// Keeps a finished span if its trace is sampled.
    void record(span finished);
    /// @return all kept spans, which are then forgotten.
    std::vector<span> take();

    /// @return how many sampled spans gave way before they were exported.
    std::uint64_t dropped() const { return dropped_; }

private:
    span_id new_span_id();

    trace_settings settings_;
    std::mt19937_64 random_;
    std::deque<span> spans_;
    std::uint64_t dropped_{0};
};

/// @param service becomes the resource's service.name. @param instance becomes its service.instance.id.
/// @return the spans as an OTLP/JSON ExportTraceServiceRequest on one line.
std::string to_otlp_json(const std::vector<span>& spans, std::string_view service, std::string_view instance);

/// Receives one batch as OTLP/JSON, e.g. appends it to a file or posts it to a collector.
using span_sink = std::function<void(std::string json)>;

/// @return a sink that appends each batch as one line to a file. A batch that cannot be written is dropped.
span_sink make_file_span_sink(std::string path);

/// Exports what the recorder keeps, if anything.
void export_spans(span_recorder& recorder, std::string_view service, std::string_view instance, const span_sink& sink);

} // namespace agatespar
