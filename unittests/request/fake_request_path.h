// A request path with fake dependencies and a manual clock.
#pragma once

#include <agatespar/kernel/manual_event_loop.h>
#include <agatespar/request/answer_quality.h>
#include <agatespar/request/chat_service.h>
#include <agatespar/request/explain_store.h>
#include <agatespar/request/server_table.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatespar {

/// The answer as received by a caller.
struct received_answer {
    std::optional<answer_head> head;
    std::string text;
    std::optional<answer_end> end;
    std::optional<error> failure;
    int end_count{0};
};

/// One attempt received by the fake engine.
struct received_attempt {
    engine_request request;
    engine_callbacks callbacks;
    bool cancelled{false};
};

/// One fleet with a cheap and a strong model, three servers, and one client account.
class fake_request_path {
public:
    fake_request_path()
    {
        set_up_configuration();
        set_up_servers();
        chat_dependencies parts;
        parts.loop = &loop;
        parts.servers = &table;
        parts.random = &random;
        parts.explanations = &explanations;
        parts.spans = &spans;
        parts.counters = &counters;
        parts.engine.start_completion = [this](engine_request request, engine_callbacks callbacks) {
            attempts.push_back(
                std::make_unique<received_attempt>(received_attempt{std::move(request), std::move(callbacks)}));
            received_attempt* attempt = attempts.back().get();
            return cancel_handle{[attempt] { attempt->cancelled = true; }};
        };
        parts.engine.poll_load = [this](const std::string&, const load_callback& done) {
            loop.post([this, done] { done(next_report); });
        };
        parts.forward = [this](const zone_id&, const chat_request&, duration, answer_sink sink) {
            forwards.push_back(std::move(sink));
            return cancel_handle{[] {}};
        };
        parts.crashes = &crashes;
        parts.publish = [this](const gossip_item& item) { published.push_back(item); };
        parts.permits.acquire = [this](const server_id&, bool alone,
                                       const std::function<void(const outcome<permit>&)>& done) {
            if (permit_refusal) {
                done(tl::make_unexpected(*permit_refusal));
                return;
            }
            ++open_permits;
            permit granted;
            granted.alone = alone;
            done(granted);
        };
        parts.permits.release = [this](const permit&, const permit_result&) { --open_permits; };
        parts.sessions.encode = [](const session_state& session, wall_time) {
            return session.id + "|" + (session.pins.empty() ? "" : session.pins.back().version.value());
        };
        parts.sessions.decode = [this](std::string_view text, wall_time) -> outcome<session_state> {
            if (text != "good") {
                return failure(error_code::unauthenticated, "forged");
            }
            return session_state{"s", {pinned}};
        };
        parts.usage.reserve = [this] { return usage_has_space; };
        parts.usage.unreserve = [this] { ++unreserved; };
        parts.usage.settle = [this](usage_record record, const std::function<void()>& may_finish) {
            bills.push_back(std::move(record));
            may_finish();
        };
        parts.log_age = [this] { return log_age; };
        parts.waiting = &waiting;
        parts.retries = &retries;
        parts.quality = &quality;
        parts.rating.rate = [this](rating_request request, rating_callback done) {
            ratings.push_back(std::move(request));
            loop.post([this, done = std::move(done)] { done(next_rating); });
        };
        service = std::make_unique<chat_service>(std::move(parts));
    }

    /// Sends a request of the account.
    /// @return the answer, which is filled in as it arrives.
    std::shared_ptr<received_answer> send(const std::string& target, const std::string& request_class = "lookup")
    {
        chat_request request;
        request.id = request_id{"request-" + std::to_string(++sent)};
        request.account = {fleet, client_account_name{"front"}};
        request.target = target;
        request.request_class = request_class;
        request.session_token = session_token;
        request.messages_json = R"([{"role":"user","content":"?"}])";
        auto received = std::make_shared<received_answer>();
        answer_sink sink;
        sink.start = [received](const answer_head& head) { received->head = head; };
        sink.text = [received](const answer_text& piece) { received->text += piece.text; };
        sink.finish = [received](const answer_end& end) { received->end = end, ++received->end_count; };
        sink.fail = [received](const error& problem) { received->failure = problem, ++received->end_count; };
        stop = service->run(std::move(request), std::move(sink), false);
        return received;
    }

    received_attempt& last() { return *attempts.back(); }

    /// Ends the last attempt.
    /// @param tokens the number of output tokens that the engine reports.
    void finish_last(std::uint64_t tokens)
    {
        last().callbacks.on_end({"stop", {token_count{10}, token_count{0}, token_count{tokens}}});
    }

    const fleet_name fleet{"f"};
    manual_event_loop loop;
    server_table table{zone_id{fleet_name{"f"}, zone_name{"z"}}};
    std::mt19937_64 random{1};
    explain_store explanations;
    span_recorder spans{{}, 1};
    request_counters counters;
    retry_budget retries;
    wait_limiter waiting;
    /// Error with which the servers' owners refuse permits. If empty, permits are granted.
    std::optional<error> permit_refusal;
    answer_quality quality{table, boot_id{1}};
    std::unique_ptr<chat_service> service;
    cancel_handle stop;
    std::vector<std::unique_ptr<received_attempt>> attempts;
    /// The sinks of the requests that were forwarded to another zone.
    std::vector<answer_sink> forwards;
    std::vector<usage_record> bills;
    std::vector<rating_request> ratings;
    outcome<rating> next_rating{rating::good};
    outcome<load_report> next_report{load_report{}};
    crash_guard crashes;
    std::vector<gossip_item> published;
    version_id pinned{{fleet_name{"f"}, model_name{"strong"}}, version_name{"1"}};
    std::string session_token;
    duration log_age{0};
    bool usage_has_space{true};
    int unreserved{0};
    int open_permits{0};
    int sent{0};

private:
    void set_up_configuration()
    {
        auto config = std::make_shared<configuration>();
        fleet_settings& settings = config->fleets[fleet];
        settings.zones[zone_name{"z"}] = {};
        const auto add_model = [&settings](const char* name, double price) {
            version_settings version;
            version.share = 1.0;
            version.cost_per_1000_tokens = cost_units{price};
            settings.models[model_name{name}].versions[version_name{"1"}] = version;
        };
        add_model("cheap", 1.0);
        add_model("strong", 10.0);
        settings.classes[request_class_name{"lookup"}] = {};
        request_class_settings draft;
        draft.may_hold = true;
        draft.deadline = std::chrono::minutes{10};
        settings.classes[request_class_name{"draft"}] = draft;
        service_settings chat;
        chat.cut_off_limit = std::chrono::minutes{5};
        chat.models = {model_name{"cheap"}, model_name{"strong"}};
        settings.services[service_name{"assistant"}] = chat;
        client_account_settings account;
        account.models = {{model_name{"cheap"}, {}}, {model_name{"strong"}, {}}};
        account.services = {service_name{"assistant"}};
        settings.accounts[client_account_name{"front"}] = account;
        client_account_settings narrow;
        narrow.models = {{model_name{"cheap"}, {}}};
        settings.accounts[client_account_name{"narrow"}] = narrow;
        table.apply_configuration(config);
    }

    void set_up_servers()
    {
        std::vector<vm_entry> entries;
        for (const char* name : {"cheap-1", "strong-1", "strong-2"}) {
            vm_entry entry;
            entry.name = server_name{name};
            entry.kind = vm_kind::engine;
            entry.fleet = fleet;
            entry.zone = zone_name{"z"};
            entry.address = std::string{"http://"} + name;
            entry.slots = 8;
            entries.push_back(entry);
        }
        table.apply_vm_list(entries);
        for (const vm_entry& entry : entries) {
            const server_id id{entry.fleet, entry.name};
            const bool cheap = entry.name == server_name{"cheap-1"};
            table.apply_versions(id, {{model_name{cheap ? "cheap" : "strong"}, version_name{"1"}}});
            table.apply_load(id, {8, 0, 0, true, loop.time().now()});
        }
        quality.apply_configuration();
        quality.tick();
    }
};

} // namespace agatespar
