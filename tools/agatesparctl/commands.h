// The commands of agatesparctl. Each runs on the loop and calls back once with its exit code.
#pragma once

#include "options.h"

#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/http_client.h>
#include <agatespar/platform/log_service.h>

#include <functional>

namespace agatespar {

/// What a command works with; it outlives the command.
struct tool_context {
    event_loop& loop;
    http_client http;
    log_service log;
    tool_options options;
};

using exit_callback = std::function<void(exit_code)>;

/// Submits the patches of the files.
void run_patch_files(const tool_context& context, exit_callback done);
/// Submits the patch of zone, rollout or withdraw.
void run_change(const tool_context& context, exit_callback done);
/// Prints the accepted configuration, its log or its clashes.
void run_config_view(const tool_context& context, exit_callback done);
/// Prints what the files would change, or checks them.
void run_config_trial(const tool_context& context, exit_callback done);
/// Prints a VM's state or explanation.
void run_daemon_query(const tool_context& context, exit_callback done);
/// Prints the billed totals.
void run_usage(const tool_context& context, exit_callback done);
/// Follows one request through log files. @return refused if no line tells of it, usage if a file can't be read.
exit_code run_trace(const tool_options& options);

} // namespace agatespar
