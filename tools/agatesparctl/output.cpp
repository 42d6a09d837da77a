// Writes reports to standard output and errors to standard error.
#include "output.h"

#include <nlohmann/json.hpp>

#include <cassert>
#include <iostream>

namespace agatespar {

exit_code print_error(const std::string& text, exit_code code)
{
    std::cerr << "agatesparctl: " << text << "\n";
    return code;
}

exit_code print_failure(const error& problem)
{
    switch (problem.code) {
    case error_code::unavailable:
    case error_code::deadline_exceeded:
    case error_code::outcome_unknown:
        return print_error(problem.message, exit_code::unreachable);
    default:
        return print_error(problem.message, exit_code::refused);
    }
}

static exit_code code_of(submit_status status)
{
    switch (status) {
    case submit_status::accepted:
        return exit_code::ok;
    case submit_status::conflict:
    case submit_status::invalid:
    case submit_status::too_new:
        return exit_code::refused;
    case submit_status::unreachable:
        return exit_code::unreachable;
    case submit_status::unknown:
        return exit_code::unknown;
    }
    assert(false && "every status has an exit code");
    return exit_code::unknown;
}

nlohmann::json describe(const patch_verdict& verdict)
{
    return {{"patch_id", verdict.id.value()},
            {"author", verdict.author},
            {"verdict", to_string(verdict.kind)},
            {"number", verdict.number.value()},
            {"reason", verdict.reason}};
}

std::string describe_line(const patch_verdict& verdict)
{
    std::string line = std::to_string(verdict.number.value()) + "  " + std::string{to_string(verdict.kind)} + "  " +
                       verdict.id.value() + "  by " + verdict.author;
    if (!verdict.reason.empty()) {
        line += ": " + verdict.reason;
    }
    return line;
}

exit_code print_report(const submit_report& report, bool json)
{
    if (json) {
        nlohmann::json accepted_since_base = nlohmann::json::array();
        for (const patch_verdict& verdict : report.accepted_since_base) {
            accepted_since_base.push_back(describe(verdict));
        }
        std::cout << nlohmann::json{{"patch_id", report.id.value()},
                                    {"status", to_string(report.status)},
                                    {"number", report.number.value()},
                                    {"reason", report.reason},
                                    {"changes_in_between", std::move(accepted_since_base)}}
                         .dump()
                  << "\n";
        return code_of(report.status);
    }
    std::cout << "patch " << report.id.value() << ": " << to_string(report.status);
    if (report.status == submit_status::accepted) {
        std::cout << " as number " << report.number.value();
    }
    std::cout << (report.reason.empty() ? "" : ": " + report.reason) << "\n";
    for (const patch_verdict& verdict : report.accepted_since_base) {
        std::cout << "  in between: " << describe_line(verdict) << "\n";
    }
    return code_of(report.status);
}

static void print_lines(const nlohmann::json& value, const std::string& indent)
{
    for (const auto& [name, member] : value.items()) {
        const std::string label = value.is_array() ? "-" : name + ":";
        if (member.is_structured()) {
            std::cout << indent << label << (member.empty() ? " (empty)" : "") << "\n";
            print_lines(member, indent + "  ");
            continue;
        }
        std::cout << indent << label << " " << (member.is_string() ? member.get<std::string>() : member.dump()) << "\n";
    }
}

void print_document(const nlohmann::json& document, bool json)
{
    if (json || !document.is_structured()) {
        std::cout << document.dump(2) << "\n";
        return;
    }
    print_lines(document, "");
}

} // namespace agatespar
