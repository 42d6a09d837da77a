// Commands that change the configuration.
#include "commands.h"
#include "output.h"
#include "patch_file.h"

#include <agatespar/config/name_text.h>
#include <agatespar/config/submit.h>

#include <sodium.h>

#include <array>
#include <memory>
#include <utility>

namespace agatespar {

namespace {

// Patches that are submitted one after another.
struct patch_queue {
    const tool_context& context;
    std::vector<patch> patches;
    exit_callback done;
    std::size_t next{0};
};

} // namespace

static log_access_settings access_settings(const tool_options& options)
{
    log_access_settings settings;
    settings.give_up = options.timeout;
    return settings;
}

static void submit_next(const std::shared_ptr<patch_queue>& queue)
{
    if (queue->next == queue->patches.size()) {
        queue->done(exit_code::ok);
        return;
    }
    const tool_context& context = queue->context;
    submit_patch(context.loop, context.log, queue->patches[queue->next++], access_settings(context.options),
                 [queue](const submit_report& report) {
                     const exit_code code = print_report(report, queue->context.options.json);
                     if (code != exit_code::ok) {
                         queue->done(code);
                         return;
                     }
                     submit_next(queue);
                 });
}

void run_patch_files(const tool_context& context, exit_callback done)
{
    const outcome<std::vector<patch>> patches = read_patch_files(context.options.files);
    if (!patches) {
        done(print_error(patches.error().message, exit_code::usage));
        return;
    }
    submit_next(std::make_shared<patch_queue>(patch_queue{context, *patches, std::move(done)}));
}

static outcome<patch_operation> make_operation(const tool_options& options)
{
    switch (options.what) {
    case command::zone_drain:
    case command::zone_return:
        return parse_qualified<zone_name>(options.target).map([&options](const zone_id& zone) {
            return patch_operation{set_zone_in_service{zone, options.what == command::zone_return}};
        });
    case command::rollout:
        return parse_qualified<model_name>(options.target).and_then([&options](const model_id& model) {
            return parse_shares(options.shares).map([&model](const std::map<version_name, double>& shares) {
                return patch_operation{set_shares{model, shares}};
            });
        });
    default:
        return parse_version_id(options.target).map([&options](const version_id& version) {
            withdraw_version operation{version, std::nullopt};
            if (options.successor) {
                operation.successor = version_name{*options.successor};
            }
            return patch_operation{operation};
        });
    }
}

static std::string random_patch_id()
{
    std::array<unsigned char, 12> bytes{};
    std::array<char, 2 * bytes.size() + 1> digits{};
    randombytes_buf(bytes.data(), bytes.size());
    sodium_bin2hex(digits.data(), digits.size(), bytes.data(), bytes.size());
    return digits.data();
}

static void submit_change(const tool_context& context, const patch_operation& operation, config_number base,
                          exit_callback done)
{
    const tool_options& options = context.options;
    const std::string id = options.patch_id.empty() ? random_patch_id() : options.patch_id;
    const patch change{patch_id{id}, base, options.author, fold_rules_version, {operation}};
    // A patch that violates the schema must not be appended to the log.
    const outcome<patch> checked = parse_patch(format_patch(change), "command line");
    if (!checked) {
        done(print_error(checked.error().message, exit_code::usage));
        return;
    }
    submit_next(std::make_shared<patch_queue>(patch_queue{context, {change}, std::move(done)}));
}

void run_change(const tool_context& context, exit_callback done)
{
    const outcome<patch_operation> operation = make_operation(context.options);
    if (!operation) {
        done(print_error(operation.error().message, exit_code::usage));
        return;
    }
    if (context.options.base) {
        submit_change(context, *operation, config_number{*context.options.base}, std::move(done));
        return;
    }
    fetch_state(context.loop, context.log, access_settings(context.options),
                [&context, operation = *operation, done = std::move(done)](const outcome<fold_state>& state) {
                    if (!state) {
                        done(print_failure(state.error()));
                        return;
                    }
                    submit_change(context, operation, state->current->number, done);
                });
}

} // namespace agatespar
