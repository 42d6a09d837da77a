// The commands of agatesparctl. Each runs on the loop and calls back once with its exit code.
#pragma once

#include "options.h"

#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/http_client.h>
#include <agatespar/platform/log_service.h>

#include <functional>

namespace agatespar {

/// Services and options of a running command; must outlive the command.
struct tool_context {
    event_loop& loop;
    http_client http;
    log_service log;
    tool_options options;
};

using exit_callback = std::function<void(exit_code)>;

/// Submits the patches in the files, in order, up to the first that is not accepted.
void run_patch_files(const tool_context& context, exit_callback done);
/// Builds and submits the patch of the commands zone, rollout and withdraw.
void run_change(const tool_context& context, exit_callback done);
/// Prints the accepted configuration, the verdicts on patches, or the names that several fleets use.
void run_config_view(const tool_context& context, exit_callback done);
/// Prints what the patches in the files would change, or checks them.
void run_config_trial(const tool_context& context, exit_callback done);
/// Prints the state of a VM, or its explanation of a request.
void run_daemon_query(const tool_context& context, exit_callback done);
/// Prints the billed totals of each client account.
void run_usage(const tool_context& context, exit_callback done);
/// Prints the lines of log files that explain one request.
/// @return refused if no line reports the request, usage if a file can't be read.
exit_code run_trace(const tool_options& options);

} // namespace agatespar
