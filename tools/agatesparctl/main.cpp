// agatesparctl: the operators' command line.
#include "commands.h"
#include "options.h"

#include <agatespar/kernel/glib_event_loop.h>
#include <agatespar/platform/gio_http_client.h>
#include <agatespar/platform/http_log.h>

#include <sodium.h>

#include <iostream>
#include <string>
#include <vector>

using namespace agatespar;

static void run_command(const tool_context& context, const exit_callback& done)
{
    switch (context.options.what) {
    case command::patch:
        run_patch_files(context, done);
        return;
    case command::zone_drain:
    case command::zone_return:
    case command::rollout:
    case command::withdraw:
        run_change(context, done);
        return;
    case command::config_show:
    case command::config_log:
    case command::config_clashes:
        run_config_view(context, done);
        return;
    case command::config_diff:
    case command::config_check:
        run_config_trial(context, done);
        return;
    case command::status:
    case command::explain:
        run_daemon_query(context, done);
        return;
    case command::usage:
        run_usage(context, done);
        return;
    case command::trace:
        done(run_trace(context.options));
        return;
    }
}

int main(int argc, char** argv)
{
    const parsed_command_line start = read_options(std::vector<std::string>{argv + 1, argv + argc});
    if (!start.options) {
        (start.code == exit_code::ok ? std::cout : std::cerr) << start.text;
        return static_cast<int>(start.code);
    }
    if (sodium_init() < 0) {
        std::cerr << "agatesparctl: libsodium could not be initialized\n";
        return static_cast<int>(exit_code::unreachable);
    }
    glib_event_loop loop;
    gio_http_client http{loop};
    tool_context context{loop, http.client(), {}, *start.options};
    if (!start.options->log_url.empty()) {
        context.log = make_http_log(context.http, start.options->log_url);
    }
    exit_code result = exit_code::unknown;
    loop.post([&] {
        run_command(context, [&](exit_code code) {
            result = code;
            loop.quit();
        });
    });
    loop.run();
    return static_cast<int>(result);
}
