// Commands that query a VM or the ledger's usage stream.
#include "commands.h"
#include "output.h"

#include <agatespar/config/name_text.h>
#include <agatespar/ledger/usage_reader.h>

#include <nlohmann/json.hpp>

#include <iostream>
#include <utility>

namespace agatespar {

static constexpr int http_ok = 200;

// Returns the message of an error in the format of the HTTP API, or else the entire body.
static std::string refusal_text(const nlohmann::json& body)
{
    const nlohmann::json::json_pointer message{"/error/message"};
    if (body.is_object() && body.contains(message) && body.at(message).is_string()) {
        return ": " + body.at(message).get<std::string>();
    }
    return body.is_discarded() ? "" : ": " + body.dump();
}

static exit_code print_answer(const outcome<http_response>& answer, bool json)
{
    if (!answer) {
        return print_error("the VM can't be reached: " + answer.error().message, exit_code::unreachable);
    }
    const nlohmann::json body = nlohmann::json::parse(answer->body, nullptr, false);
    if (answer->head.status != http_ok) {
        return print_error("the VM answered with status " + std::to_string(answer->head.status) + refusal_text(body),
                           exit_code::refused);
    }
    if (body.is_discarded()) {
        return print_error("the VM's answer is not JSON", exit_code::refused);
    }
    print_document(body, json);
    return exit_code::ok;
}

// Other characters could change the meaning of the URL.
static bool is_request_id(const std::string& text)
{
    return !text.empty() &&
           text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") ==
               std::string::npos;
}

void run_daemon_query(const tool_context& context, exit_callback done)
{
    const tool_options& options = context.options;
    http_request request;
    request.url = options.daemon_url + "/operator/status";
    if (options.what == command::explain) {
        if (!is_request_id(options.target)) {
            done(print_error("\"" + options.target + "\" is not a request id", exit_code::usage));
            return;
        }
        request.url = options.daemon_url + "/operator/explain/" + options.target;
    }
    if (!options.operator_key.empty()) {
        request.headers.push_back({"authorization", "Bearer " + options.operator_key});
    }
    request.timeout = options.timeout;
    context.http.send(std::move(request), [&options, done = std::move(done)](const outcome<http_response>& answer) {
        done(print_answer(answer, options.json));
    });
}

static nlohmann::json describe(const usage_totals& totals)
{
    nlohmann::json accounts = nlohmann::json::object();
    for (const auto& [account, usage] : totals.accounts) {
        accounts[to_string(account)] = {{"requests", usage.requests},
                                        {"attempts", usage.attempts},
                                        {"prompt_tokens", usage.prompt_tokens.value()},
                                        {"answer_tokens", usage.answer_tokens.value()},
                                        {"cost", usage.cost.value()}};
    }
    return {{"accounts", std::move(accounts)},
            {"duplicates", totals.duplicates},
            {"malformed", totals.malformed},
            {"lost_to_trimming", totals.lost_to_trimming}};
}

void run_usage(const tool_context& context, exit_callback done)
{
    read_usage_totals(context.log, [&context, done = std::move(done)](const outcome<usage_totals>& totals) {
        if (!totals) {
            done(print_failure(totals.error()));
            return;
        }
        print_document(describe(*totals), context.options.json);
        done(exit_code::ok);
    });
}

} // namespace agatespar
