// Writes JSON log lines with Boost.Log.
#include <agatespar/telemetry/log.h>
#include <agatespar/telemetry/log_budget.h>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <cassert>
#include <ctime>
#include <iostream>

namespace agatespar {

namespace {

using text_sink = boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>;

// The state of the logging. There is one for the process, like the core of Boost.Log.
struct logging {
    log_settings settings;
    boost::shared_ptr<text_sink> sink;
    boost::log::sources::severity_logger<log_severity> logger;
};

} // namespace

static logging& current_logging()
{
    static logging current;
    return current;
}

static const char* severity_name(log_severity severity)
{
    switch (severity) {
    case log_severity::debug:
        return "debug";
    case log_severity::info:
        return "info";
    case log_severity::warning:
        return "warning";
    case log_severity::error:
        return "error";
    }
    assert(false && "every severity has a name");
    return "error";
}

// Formats as in RFC 3339, in UTC with milliseconds.
static std::string format_time(wall_time time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    const auto whole_seconds = std::chrono::floor<std::chrono::seconds>(time);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(time - whole_seconds).count();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string padded = std::to_string(1000 + millis);
    return std::string{date.data()} + "." + padded.substr(1) + "Z";
}

static wall_time current_time(const log_settings& settings)
{
    return settings.time == nullptr ? std::chrono::system_clock::now() : settings.time->wall_now();
}

void start_logging(const log_settings& settings, std::ostream& target)
{
    logging& current = current_logging();
    stop_logging();
    current.settings = settings;
    current.sink = boost::make_shared<text_sink>();
    current.sink->locked_backend()->add_stream(boost::shared_ptr<std::ostream>{&target, boost::null_deleter{}});
    current.sink->locked_backend()->auto_flush(true);
    current.sink->set_filter([min_severity = settings.min_severity](const boost::log::attribute_value_set& values) {
        const auto severity = boost::log::extract<log_severity>("Severity", values);
        return severity && *severity >= min_severity;
    });
    current.sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(current.sink);
}

void start_logging(const log_settings& settings)
{
    start_logging(settings, std::cerr);
}

void stop_logging()
{
    logging& current = current_logging();
    if (current.sink) {
        boost::log::core::get()->remove_sink(current.sink);
        current.sink.reset();
    }
    current.settings = {};
}

bool reserve_log_line(log_severity severity)
{
    const logging& current = current_logging();
    if (!current.sink || severity < current.settings.min_severity) {
        return false;
    }
    log_budget* budget = current.settings.budget;
    const steady_time now =
        current.settings.time == nullptr ? std::chrono::steady_clock::now() : current.settings.time->now();
    return budget == nullptr || budget->take(severity == log_severity::debug, now);
}

void log_event(log_severity severity, std::string_view event, std::initializer_list<log_field> fields)
{
    if (reserve_log_line(severity)) {
        log_reserved_event(severity, event, fields);
    }
}

void log_reserved_event(log_severity severity, std::string_view event, std::initializer_list<log_field> fields)
{
    logging& current = current_logging();
    boost::log::record record = current.logger.open_record(boost::log::keywords::severity = severity);
    if (!record) {
        return;
    }
    nlohmann::ordered_json line;
    line["time"] = format_time(current_time(current.settings));
    line["severity"] = severity_name(severity);
    line["source"] = current.settings.source;
    line["event"] = event;
    for (const log_field& field : fields) {
        const std::string name{field.name};
        assert(!line.contains(name) && "field names of a line are unique");
        std::visit([&line, &name](const auto& value) { line[name] = value; }, field.value);
    }
    boost::log::record_ostream stream{record};
    stream << line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    stream.flush();
    current.logger.push_record(std::move(record));
}

} // namespace agatespar
