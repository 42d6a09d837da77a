// Structured logging: one JSON line for each change of state, on standard error by default. Frequent events are counted
// in metrics instead.
#pragma once

#include <agatespar/support/clock.h>

#include <cstdint>
#include <initializer_list>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>

namespace agatespar {

class log_budget;

enum class log_severity {
    debug,
    info,
    warning,
    error,
};

using log_value = std::variant<bool, std::int64_t, std::uint64_t, double, std::string_view>;

/// One key and value of a log line. Holds only a view of its text, so that a dropped line costs no copies; it is to be
/// created in the argument list of the logging call.
struct log_field {
    log_field(std::string_view field_name, bool field_value) : name(field_name), value(field_value) {}
    log_field(std::string_view field_name, int field_value) : name(field_name), value(std::int64_t{field_value}) {}
    log_field(std::string_view field_name, std::int64_t field_value) : name(field_name), value(field_value) {}
    log_field(std::string_view field_name, std::uint64_t field_value) : name(field_name), value(field_value) {}
    log_field(std::string_view field_name, double field_value) : name(field_name), value(field_value) {}
    log_field(std::string_view field_name, std::string_view field_value) : name(field_name), value(field_value) {}
    log_field(std::string_view field_name, const std::string& field_value)
        : name(field_name), value(std::string_view{field_value})
    {
    }
    log_field(std::string_view field_name, const char* field_value)
        : name(field_name), value(std::string_view{field_value})
    {
    }

    std::string_view name;
    log_value value;
};

struct log_settings {
    /// The value of "source" in each line, e.g. the name of the VM.
    std::string source;
    log_severity min_severity{log_severity::info};
    /// Clock of the time stamps; must outlive the logging. Null selects the operating system's clock.
    const clock* time{nullptr};
    /// Limits the rate of lines; must outlive the logging. Null writes all lines. Lines of severity debug are ordinary
    /// ones in the sense of log_budget.
    log_budget* budget{nullptr};
};

/// Directs all log lines to a stream, which replaces the previous target. @param target must outlive the logging.
void start_logging(const log_settings& settings, std::ostream& target);
/// Directs all log lines to standard error.
void start_logging(const log_settings& settings);

/// Ends the logging. To be called before the objects that were passed to start_logging() are destroyed.
void stop_logging();

/// Reserves a line, so that its fields need not be built if it would be dropped. @return whether the line is to be
/// written; if so, it has been taken from the budget, and log_reserved_event() must follow.
bool reserve_log_line(log_severity severity);
/// Writes a line for which reserve_log_line() has returned true.
void log_reserved_event(log_severity severity, std::string_view event, std::initializer_list<log_field> fields = {});

/// Writes one line: {"time","severity","source","event", fields...}. Does nothing before start_logging().
/// @param event a fixed name in snake case, e.g. "server_cold". @param fields more detail; a field must not have the
/// name of a standard key.
void log_event(log_severity severity, std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace agatespar
