// JSON log lines on standard error, one for each change of state. What happens often is counted instead.
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

/// One key and value of a log line. Only views its text, so that a line which is dropped costs no copies: it is to be
/// used within the call that it is written in.
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
    /// Stands in each line as "source", e.g. the VM's name.
    std::string source;
    log_severity least{log_severity::info};
    /// Gives the lines' time stamps and must outlive the logging; null takes the operating system's clock.
    const clock* time{nullptr};
    /// Bounds the lines over time and must outlive the logging; null writes all. Lines of severity debug are ordinary.
    log_budget* budget{nullptr};
};

/// Sends all log lines to a stream, in place of the sink before. @param target must outlive the logging.
void start_logging(const log_settings& settings, std::ostream& target);
/// Sends all log lines to standard error.
void start_logging(const log_settings& settings);

/// Ends the logging, before what start_logging() was given goes away.
void stop_logging();

/// @return whether a line would be written, so that it need not be built if not. Takes it from the budget: if this
/// is true, the line must follow with log_granted_event().
bool log_grants(log_severity severity);
/// Writes a line that log_grants() has granted.
void log_granted_event(log_severity severity, std::string_view event, std::initializer_list<log_field> fields = {});

/// Writes one line: {"time","severity","source","event", fields...}. Does nothing before start_logging().
/// @param event a fixed name in snake case, e.g. "server_cold". @param fields more detail; a field must not take the
/// name of a standard key.
void log_event(log_severity severity, std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace agatespar
