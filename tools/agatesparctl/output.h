// Prints results as text for people or as JSON for scripts.
#pragma once

#include "options.h"

#include <agatespar/config/submit.h>
#include <agatespar/support/outcome.h>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace agatespar {

/// Prints one line to standard error. @return the given code.
exit_code print_error(const std::string& text, exit_code code);
/// Prints a failure of the log service or a VM. @return the exit code for it.
exit_code print_failure(const error& problem);
/// Prints the outcome of a submitted patch. @return the exit code for it.
exit_code print_report(const submit_report& report, bool json);
/// Prints a JSON document, as indented JSON for scripts or as "name: value" lines for people.
void print_document(const nlohmann::json& document, bool json);
/// @return a verdict on a patch as JSON.
nlohmann::json describe(const patch_verdict& verdict);
/// @return the verdict as one line for people.
std::string describe_line(const patch_verdict& verdict);

} // namespace agatespar
