// Finds the lines that explain one request in the collected log files of several VMs.
#include "commands.h"
#include "output.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <vector>

namespace agatespar {

// Lines up to this long before the end of a request may explain it; requests last up to 30 s.
static constexpr std::chrono::seconds explanation_window{30};
static constexpr const char* request_event = "request_ended";

namespace {

struct log_line {
    nlohmann::ordered_json fields;
    std::string source;
    std::string event;
    std::string time;
};

} // namespace

static std::string text_of(const nlohmann::ordered_json& fields, const char* name)
{
    const auto found = fields.find(name);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

/// Reads the lines that contain a JSON object; a text before the object is ignored.
/// @return false if the file can't be read.
static bool read_lines(const std::string& path, std::vector<log_line>& lines)
{
    std::ifstream file{path};
    if (!file) {
        return false;
    }
    for (std::string text; std::getline(file, text);) {
        const std::size_t begin = text.find('{');
        if (begin == std::string::npos) {
            continue;
        }
        auto fields = nlohmann::ordered_json::parse(text.substr(begin), nullptr, false);
        if (!fields.is_object()) {
            continue;
        }
        log_line line{std::move(fields), {}, {}, {}};
        line.source = text_of(line.fields, "source");
        line.event = text_of(line.fields, "event");
        line.time = text_of(line.fields, "time");
        lines.push_back(std::move(line));
    }
    return true;
}

static std::vector<std::string> split(const std::string& text, const std::string& separator)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const std::size_t end = std::min(text.find(separator, begin), text.size());
        parts.push_back(text.substr(begin, end - begin));
        begin = end + separator.size();
    }
    return parts;
}

/// Converts a time stamp such as 2026-12-04T07:00:00.123Z to seconds since the start of its month, for differences
/// within one month. @return 0 if the time stamp is malformed.
static double seconds_of(const std::string& time)
{
    int day = 0;
    int hour = 0;
    int minute = 0;
    double second = 0;
    if (std::sscanf(time.c_str(), "%*d-%*d-%dT%d:%d:%lf", &day, &hour, &minute, &second) != 4) {
        return 0;
    }
    return ((day * 24.0 + hour) * 60 + minute) * 60 + second;
}

/// @return whether a line reports an event on the same VM shortly before a request ended: of a server that the request
/// was sent to, of the store, or of the configuration.
static bool explains(const log_line& line, const log_line& request)
{
    if (line.source != request.source || line.event == request_event) {
        return false;
    }
    const double before = seconds_of(request.time) - seconds_of(line.time);
    if (before < 0 || before > static_cast<double>(explanation_window.count())) {
        return false;
    }
    const std::string server = text_of(line.fields, "server");
    if (!server.empty()) {
        return text_of(request.fields, "attempts").find(server) != std::string::npos;
    }
    return true;
}

static void print_request(const log_line& line)
{
    const auto& fields = line.fields;
    std::cout << line.time << " " << line.source << ": " << text_of(fields, "outcome") << ", status "
              << fields.value("status", 0) << ", " << text_of(fields, "reason") << " (route "
              << text_of(fields, "route") << ", configuration " << fields.value("configuration", 0) << ", "
              << fields.value("ms", 0) << " ms, goal " << fields.value("goal_ms", 0) << " ms)\n";
    const std::string attempts = text_of(fields, "attempts");
    for (const std::string& attempt : split(attempts, "; ")) {
        std::cout << "  attempt: " << (attempt.empty() ? "none was made" : attempt) << "\n";
    }
}

exit_code run_trace(const tool_options& options)
{
    std::vector<log_line> lines;
    for (const std::string& path : options.files) {
        if (!read_lines(path, lines)) {
            return print_error(path + " can't be read", exit_code::usage);
        }
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const log_line& left, const log_line& right) { return left.time < right.time; });
    nlohmann::ordered_json found = nlohmann::ordered_json::array();
    for (const log_line& request : lines) {
        if (request.event != request_event || text_of(request.fields, "request") != options.target) {
            continue;
        }
        nlohmann::ordered_json learned = nlohmann::ordered_json::array();
        for (const log_line& line : lines) {
            if (explains(line, request)) {
                learned.push_back(line.fields);
            }
        }
        if (!options.json) {
            print_request(request);
            for (const auto& line : learned) {
                std::cout << "  learned: " << line.dump() << "\n";
            }
        }
        found.push_back({{"request", request.fields}, {"learned", std::move(learned)}});
    }
    if (found.empty()) {
        return print_error("no line tells of request " + options.target +
                               "; a line on an expected outcome may have been dropped, see log_lines_dropped",
                           exit_code::refused);
    }
    if (options.json) {
        std::cout << found.dump(2) << "\n";
    }
    return exit_code::ok;
}

} // namespace agatespar
