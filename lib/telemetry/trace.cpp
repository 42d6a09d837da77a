// Trace contexts, the span recorder and the export of spans.
#include <agatespar/telemetry/trace.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>

namespace agatespar {

static constexpr std::size_t version_size = 2;
static constexpr std::size_t half_id_size = 16;
static constexpr std::size_t flags_size = 2;
// "00-" trace id "-" span id "-" flags.
static constexpr std::size_t traceparent_size = version_size + 1 + 2 * half_id_size + 1 + half_id_size + 1 + flags_size;
static constexpr std::uint64_t sampled_flag = 1;

// @param digits at most 16. @return the value of lower-case hexadecimal digits, or std::nullopt if there is another
// character.
static std::optional<std::uint64_t> parse_hex(std::string_view digits)
{
    const bool is_hex = std::all_of(digits.begin(), digits.end(),
                                    [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    if (!is_hex) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return value;
}

static std::string format_hex(std::uint64_t value, std::size_t size)
{
    std::array<char, half_id_size> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16).ptr;
    const std::string text{digits.data(), end};
    return std::string(size - text.size(), '0') + text;
}

static std::string format_trace_id(const trace_id& id)
{
    return format_hex(id.high, half_id_size) + format_hex(id.low, half_id_size);
}

std::optional<trace_context> parse_traceparent(std::string_view header)
{
    constexpr std::size_t trace_at = version_size + 1;
    constexpr std::size_t span_at = trace_at + 2 * half_id_size + 1;
    constexpr std::size_t flags_at = span_at + half_id_size + 1;
    if (header.size() < traceparent_size || header[trace_at - 1] != '-' || header[span_at - 1] != '-' ||
        header[flags_at - 1] != '-') {
        return std::nullopt;
    }
    const auto version = parse_hex(header.substr(0, version_size));
    const auto high = parse_hex(header.substr(trace_at, half_id_size));
    const auto low = parse_hex(header.substr(trace_at + half_id_size, half_id_size));
    const auto span = parse_hex(header.substr(span_at, half_id_size));
    const auto flags = parse_hex(header.substr(flags_at, flags_size));
    if (!version || !high || !low || !span || !flags) {
        return std::nullopt;
    }
    // A later version may add fields after another dash; version ff is forbidden.
    constexpr std::uint64_t forbidden_version = 0xff;
    const bool longer = header.size() > traceparent_size;
    if (*version == forbidden_version || (longer && (*version == 0 || header[traceparent_size] != '-'))) {
        return std::nullopt;
    }
    if ((*high == 0 && *low == 0) || *span == 0) {
        return std::nullopt;
    }
    return trace_context{{*high, *low}, span_id{*span}, (*flags & sampled_flag) != 0};
}

std::string format_traceparent(const trace_context& context)
{
    return "00-" + format_trace_id(context.trace) + "-" + format_hex(context.span.value(), half_id_size) +
           (context.sampled ? "-01" : "-00");
}

span_id span_recorder::new_span_id()
{
    return span_id{std::uniform_int_distribution<std::uint64_t>{1}(random_)};
}

trace_context span_recorder::start_trace()
{
    const trace_id trace{random_(), new_span_id().value()};
    const bool sampled = std::bernoulli_distribution{settings_.sample_fraction}(random_);
    return {trace, new_span_id(), sampled};
}

trace_context span_recorder::start_child(const trace_context& parent)
{
    return {parent.trace, new_span_id(), parent.sampled};
}

void span_recorder::record(span finished)
{
    if (!finished.context.sampled) {
        return;
    }
    spans_.push_back(std::move(finished));
    if (spans_.size() > settings_.capacity) {
        spans_.pop_front();
        ++dropped_;
    }
}

std::vector<span> span_recorder::take()
{
    std::vector<span> taken{std::make_move_iterator(spans_.begin()), std::make_move_iterator(spans_.end())};
    spans_.clear();
    return taken;
}

static nlohmann::json make_attribute(std::string_view name, std::string_view value)
{
    return {{"key", name}, {"value", {{"stringValue", value}}}};
}

// OTLP/JSON encodes 64-bit numbers as strings.
static std::string format_nanoseconds(wall_time time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

static nlohmann::json span_to_json(const span& finished)
{
    nlohmann::json attributes = nlohmann::json::array();
    for (const span_attribute& attribute : finished.attributes) {
        attributes.push_back(make_attribute(attribute.name, attribute.value));
    }
    nlohmann::json document{{"traceId", format_trace_id(finished.context.trace)},
                            {"spanId", format_hex(finished.context.span.value(), half_id_size)},
                            {"name", finished.name},
                            {"kind", static_cast<int>(finished.kind)},
                            {"startTimeUnixNano", format_nanoseconds(finished.start)},
                            {"endTimeUnixNano", format_nanoseconds(finished.end)},
                            {"attributes", std::move(attributes)}};
    if (finished.parent.value() != 0) {
        document["parentSpanId"] = format_hex(finished.parent.value(), half_id_size);
    }
    if (!finished.error.empty()) {
        constexpr int status_code_error = 2;
        document["status"] = {{"code", status_code_error}, {"message", finished.error}};
    }
    return document;
}

std::string to_otlp_json(const std::vector<span>& spans, std::string_view service, std::string_view instance)
{
    nlohmann::json list = nlohmann::json::array();
    for (const span& finished : spans) {
        list.push_back(span_to_json(finished));
    }
    nlohmann::json scope_spans{{"scope", {{"name", "agatespar"}}}, {"spans", std::move(list)}};
    nlohmann::json resource{{"attributes", nlohmann::json::array({make_attribute("service.name", service),
                                                                  make_attribute("service.instance.id", instance)})}};
    nlohmann::json resource_spans{{"resource", std::move(resource)},
                                  {"scopeSpans", nlohmann::json::array({std::move(scope_spans)})}};
    const nlohmann::json request{{"resourceSpans", nlohmann::json::array({std::move(resource_spans)})}};
    return request.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

span_sink make_file_span_sink(std::string path)
{
    return [path = std::move(path)](const std::string& json) {
        std::ofstream file{path, std::ios::app};
        file << json << '\n';
    };
}

void export_spans(span_recorder& recorder, std::string_view service, std::string_view instance, const span_sink& sink)
{
    const std::vector<span> spans = recorder.take();
    if (!spans.empty()) {
        sink(to_otlp_json(spans, service, instance));
    }
}

} // namespace agatespar
