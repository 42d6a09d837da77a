// Commands that read the configuration and change nothing.
#include "commands.h"
#include "output.h"
#include "patch_file.h"

#include <agatespar/config/merge_view.h>
#include <agatespar/config/submit.h>

#include <nlohmann/json.hpp>

#include <iostream>
#include <utility>

namespace agatespar {

static void print_log(const fold_state& state, bool json)
{
    nlohmann::json list = nlohmann::json::array();
    for (const patch_verdict& verdict : state.verdicts) {
        if (json) {
            list.push_back(describe(verdict));
            continue;
        }
        std::cout << describe_line(verdict) << "\n";
    }
    if (json) {
        std::cout << list.dump(2) << "\n";
    }
}

// Prints the names that exist in more than one fleet, and what each fleet uses them for.
static void print_clashes(const configuration& config, bool json)
{
    nlohmann::json list = nlohmann::json::array();
    for (const name_clash& clash : find_clashes(config)) {
        nlohmann::json meanings = nlohmann::json::object();
        for (const clash_meaning& meaning : clash.meanings) {
            meanings[meaning.fleet.value()] = meaning.meaning;
        }
        list.push_back({{"kind", clash.kind}, {"name", clash.name}, {"meanings", std::move(meanings)}});
    }
    if (json) {
        std::cout << list.dump(2) << "\n";
        return;
    }
    std::cout << list.size() << " names are used by more than one fleet; a request's key determines its fleet, and its "
              << "names are looked up there only.\n";
    for (const nlohmann::json& clash : list) {
        std::cout << clash["kind"].get<std::string>() << " " << clash["name"].get<std::string>() << "\n";
        for (const auto& [fleet, meaning] : clash["meanings"].items()) {
            std::cout << "  in " << fleet << ": " << meaning.get<std::string>() << "\n";
        }
    }
}

static exit_code print_view(const tool_options& options, const fold_state& state)
{
    if (state.stopped_by_rules != 0) {
        print_error(
            "the log contains patches that require a newer version of agatesparctl; the output does not include them",
            exit_code::ok);
    }
    if (options.what == command::config_log) {
        print_log(state, options.json);
        return exit_code::ok;
    }
    if (options.what == command::config_clashes) {
        print_clashes(*state.current, options.json);
        return exit_code::ok;
    }
    std::optional<fleet_name> fleet;
    if (options.fleet) {
        fleet = fleet_name{*options.fleet};
        if (find_fleet(*state.current, *fleet) == nullptr) {
            return print_error("--fleet: the fleet " + *options.fleet + " is unknown", exit_code::refused);
        }
    }
    print_document(nlohmann::json::parse(format_configuration(*state.current, fleet)), options.json);
    return exit_code::ok;
}

static void fetch(const tool_context& context, std::function<exit_code(const fold_state&)> show, exit_callback done)
{
    log_access_settings settings;
    settings.give_up = context.options.timeout;
    fetch_state(context.loop, context.log, settings,
                [show = std::move(show), done = std::move(done)](const outcome<fold_state>& state) {
                    done(state ? show(*state) : print_failure(state.error()));
                });
}

void run_config_view(const tool_context& context, exit_callback done)
{
    fetch(
        context, [&context](const fold_state& state) { return print_view(context.options, state); }, std::move(done));
}

// Applies the patches in order, each as if the previous ones had been accepted.
static outcome<configuration> try_patches(const configuration& current, const std::vector<patch>& patches)
{
    configuration result = current;
    for (const patch& change : patches) {
        if (change.base != result.number) {
            return failure(error_code::conflict, "patch " + change.id.value() + ": written against " +
                                                     std::to_string(change.base.value()) + ", current would be " +
                                                     std::to_string(result.number.value()));
        }
        outcome<configuration> applied = apply_patch(result, change);
        if (!applied) {
            return failure(error_code::invalid_argument, "patch " + change.id.value() + ": " + applied.error().message);
        }
        result = std::move(*applied);
        result.number = config_number{result.number.value() + 1};
    }
    return result;
}

// Prints the result of applying the patches to a copy of the configuration, which is not changed.
static exit_code print_trial(const tool_options& options, const std::vector<patch>& patches, const fold_state& state)
{
    const outcome<configuration> changed = try_patches(*state.current, patches);
    if (!changed) {
        return print_error(changed.error().message, exit_code::refused);
    }
    if (options.what == command::config_diff) {
        std::cout << format_difference(*state.current, *changed) << "\n";
        return exit_code::ok;
    }
    print_document({{"schema", "ok"}, {"against", state.current->number.value()}, {"result", "ok"}}, options.json);
    return exit_code::ok;
}

void run_config_trial(const tool_context& context, exit_callback done)
{
    const outcome<std::vector<patch>> patches = read_patch_files(context.options.files);
    if (!patches) {
        done(print_error(patches.error().message, exit_code::usage));
        return;
    }
    if (context.options.log_url.empty()) {
        print_document({{"schema", "ok"}, {"result", "not checked against the configuration, as --log is missing"}},
                       context.options.json);
        done(exit_code::ok);
        return;
    }
    fetch(
        context,
        [&context, patches = *patches](const fold_state& state) {
            return print_trial(context.options, patches, state);
        },
        std::move(done));
}

} // namespace agatespar
