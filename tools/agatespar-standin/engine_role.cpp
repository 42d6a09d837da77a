// Stand-in of a model engine, with slots, a priority queue, a prefix cache, cold starts, crashes, orders and delayed
// load reports.
#include "answer_text.h"
#include "engine_job.h"
#include "prefix_cache.h"
#include "role.h"

#include <agatespar/support/hash.h>

#include <algorithm>
#include <list>
#include <map>
#include <set>

namespace agatespar::standin {

namespace {

constexpr const char* crash_marker = "KILL-SERVER";
constexpr std::size_t max_queue = 256;
constexpr std::chrono::milliseconds write_poll_interval{1};
// A cold engine takes this many times as long for each token as a warm one.
constexpr int cold_slowdown = 3;

class engine_role final : public role {
public:
    engine_role(event_loop& loop, const role_settings& settings, crash_function crash)
        : loop_(loop), settings_(settings), crash_(std::move(crash)), start_(new_start_id()), warm_(settings.warm),
          loaded_(settings.versions.begin(), settings.versions.end())
    {
        refresh_report();
    }

    void handle(const std::shared_ptr<exchange>& call) override;
    void set_faults(const nlohmann::json& faults) override;
    nlohmann::json counts() const override;

private:
    void handle_completion(const std::shared_ptr<exchange>& call);
    bool refuses(const std::shared_ptr<exchange>& call, const nlohmann::json& request, const std::string& version);
    job_handle make_job(const std::shared_ptr<exchange>& call, const nlohmann::json& request,
                        const std::string& version) const;
    void handle_order(const std::shared_ptr<exchange>& call);
    void crash();
    void become_cold();
    void enqueue(const job_handle& work);
    void start_next();
    void begin(const job_handle& work);
    void step(const job_handle& work);
    void break_stream(const job_handle& work);
    void finish(const job_handle& work);
    void free_slot(const job_handle& work);
    void refresh_report();

    event_loop& loop_;
    role_settings settings_;
    crash_function crash_;
    std::uint64_t start_;
    bool warm_;
    std::uint32_t completed_since_cold_{0};
    engine_faults faults_;
    std::set<std::string> loaded_;
    std::string role_name_{"serve"};
    std::uint64_t newest_fence_{0};
    std::set<job_handle> running_;
    std::list<job_handle> queue_;
    prefix_cache cached_;
    nlohmann::json report_;
    steady_time report_time_;
    std::map<std::string, std::uint64_t> runs_;
    std::uint64_t crashes_{0};
    std::uint64_t orders_{0};
    std::uint64_t stale_orders_{0};
    std::uint64_t cancelled_{0};
    std::uint64_t completed_{0};
};

void engine_role::handle(const std::shared_ptr<exchange>& call)
{
    if (call->path() == "/v1/completions") {
        handle_completion(call);
    }
    else if (call->path() == "/v1/orders") {
        handle_order(call);
    }
    else if (call->path() == "/v1/load") {
        nlohmann::json report = report_;
        report["age_ms"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(loop_.time().now() - report_time_).count();
        call->answer(200, report);
    }
    else {
        call->refuse(404, "no such resource");
    }
}

bool engine_role::refuses(const std::shared_ptr<exchange>& call, const nlohmann::json& request,
                          const std::string& version)
{
    if (faults_.refuse || faults_.leave) {
        call->refuse(503, faults_.leave ? "leaving" : "refused");
        return true;
    }
    if (!loaded_.contains(version)) {
        call->refuse(404, "the version is not loaded");
        return true;
    }
    if (settings_.fences && request.contains("fence")) {
        const auto fence = request.at("fence").get<std::uint64_t>();
        if (fence < newest_fence_) {
            call->refuse(409, "the fencing number is old");
            return true;
        }
        newest_fence_ = fence;
    }
    if (queue_.size() >= max_queue) {
        call->refuse(429, "the queue is full");
        return true;
    }
    return false;
}

job_handle engine_role::make_job(const std::shared_ptr<exchange>& call, const nlohmann::json& request,
                                 const std::string& version) const
{
    const auto& messages = request.at("messages");
    auto work = std::make_shared<job>();
    work->call = call;
    work->attempt = request.at("attempt").get<std::uint64_t>();
    work->session = request.value("session", "");
    work->priority = request.value("priority", 0);
    work->stream = request.value("stream", true);
    work->tokens = answer_tokens(messages, version, faults_.bad.contains(version));
    const std::uint64_t limit = request.value("max_tokens", std::uint64_t{1024});
    work->finish_reason = work->tokens.size() > limit ? "length" : "stop";
    work->tokens.resize(std::min<std::uint64_t>(work->tokens.size(), limit));
    work->next = std::min<std::uint64_t>(request.value("resume_from", std::uint64_t{0}), work->tokens.size());
    work->prompt_tokens = count_tokens(prompt_text(messages));
    work->cached_tokens = std::min(cached_.find(work->session), work->prompt_tokens);
    work->start = start_;
    return work;
}

void engine_role::handle_completion(const std::shared_ptr<exchange>& call)
{
    const auto request = nlohmann::json::parse(call->body());
    const std::string version = request.at("model").get<std::string>() + "@" + request.at("version").get<std::string>();
    if (refuses(call, request, version)) {
        return;
    }
    const job_handle work = make_job(call, request, version);
    ++runs_[request.value("request", "")];
    const bool exceeds_cold_slots = !warm_ && running_.size() + queue_.size() >= settings_.cold_slots;
    if (exceeds_cold_slots || prompt_text(request.at("messages")).find(crash_marker) != std::string::npos) {
        // Posted to the loop, as the server must not be stopped from within its own request handler.
        loop_.post([this, run = start_] {
            if (run == start_) {
                crash();
            }
        });
        return;
    }
    enqueue(work);
}

void engine_role::crash()
{
    ++crashes_;
    start_ = new_start_id();
    running_.clear();
    queue_.clear();
    loaded_ = {settings_.versions.begin(), settings_.versions.end()};
    become_cold();
    crash_(settings_.restart_delay);
}

void engine_role::become_cold()
{
    warm_ = false;
    completed_since_cold_ = 0;
    cached_.clear();
}

void engine_role::enqueue(const job_handle& work)
{
    const auto position = std::find_if(queue_.begin(), queue_.end(),
                                       [&work](const job_handle& queued) { return queued->priority < work->priority; });
    queue_.insert(position, work);
    start_next();
}

void engine_role::start_next()
{
    while (running_.size() < settings_.slots && !queue_.empty()) {
        const job_handle work = queue_.front();
        queue_.pop_front();
        running_.insert(work);
        const std::uint64_t uncached_tokens = work->prompt_tokens - work->cached_tokens;
        const auto prefill = std::chrono::milliseconds{uncached_tokens * 1000 / settings_.prefill_tokens_per_second};
        loop_.schedule(prefill + faults_.late, [this, work] { begin(work); });
    }
}

void engine_role::begin(const job_handle& work)
{
    if (work->start != start_) {
        return;
    }
    if (work->stream) {
        work->call->begin_events();
        work->call->send_event({{"type", "start"}, {"attempt", work->attempt}, {"start", start_}});
    }
    step(work);
}

void engine_role::step(const job_handle& work)
{
    if (work->start != start_) {
        return;
    }
    if (!work->call->is_open()) {
        ++cancelled_;
        free_slot(work);
        return;
    }
    if (work->next >= work->tokens.size()) {
        finish(work);
        return;
    }
    if (faults_.break_stream_after != 0 && work->sent >= faults_.break_stream_after) {
        break_stream(work);
        return;
    }
    if (work->stream) {
        work->call->send_event({{"type", "tokens"},
                                {"attempt", work->attempt + (faults_.crossed ? 1 : 0)},
                                {"offset", work->next},
                                {"count", 1},
                                {"text", work->tokens[work->next]}});
    }
    ++work->next;
    ++work->sent;
    loop_.schedule(settings_.decode_step * (warm_ ? 1 : cold_slowdown), [this, work] { step(work); });
}

// Closes the connection after all tokens so far have been written to it.
void engine_role::break_stream(const job_handle& work)
{
    if (work->call->unwritten_events() != 0) {
        loop_.schedule(write_poll_interval, [this, work] { step(work); });
        return;
    }
    work->call->drop();
    free_slot(work);
}

void engine_role::finish(const job_handle& work)
{
    nlohmann::json end{{"type", "end"},
                       {"attempt", work->attempt + (faults_.crossed ? 1 : 0)},
                       {"finish_reason", work->finish_reason},
                       {"usage",
                        {{"prompt_tokens", work->prompt_tokens},
                         {"cached_tokens", work->cached_tokens},
                         {"completion_tokens", work->tokens.size()}}}};
    if (work->stream) {
        if (!faults_.no_end) {
            work->call->send_event(end);
        }
        work->call->end_events();
    }
    else {
        std::string text;
        for (const std::string& token : work->tokens) {
            text += token;
        }
        end["text"] = text;
        work->call->answer(200, end);
    }
    ++completed_;
    warm_ = warm_ || ++completed_since_cold_ >= settings_.warm_after;
    cached_.put(work->session, work->prompt_tokens + work->tokens.size());
    free_slot(work);
}

void engine_role::free_slot(const job_handle& work)
{
    running_.erase(work);
    start_next();
}

void engine_role::handle_order(const std::shared_ptr<exchange>& call)
{
    const auto order = nlohmann::json::parse(call->body());
    const auto fence = order.at("fence").get<std::uint64_t>();
    if (settings_.fences && fence < newest_fence_) {
        ++stale_orders_;
        call->refuse(409, "the fencing number is old");
        return;
    }
    ++orders_;
    newest_fence_ = std::max(newest_fence_, fence);
    role_name_ = order.value("role", role_name_);
    std::set<std::string> ordered_versions;
    for (const auto& version : order.at("versions")) {
        ordered_versions.insert(version.at("model").get<std::string>() + "@" +
                                version.at("version").get<std::string>());
    }
    std::erase_if(loaded_,
                  [&ordered_versions](const std::string& version) { return !ordered_versions.contains(version); });
    settings_.versions = {ordered_versions.begin(), ordered_versions.end()};
    // If another order arrives before the versions are loaded, the versions of the newest order are loaded.
    loop_.schedule(settings_.load_time, [this, run = start_] {
        if (run == start_) {
            loaded_ = {settings_.versions.begin(), settings_.versions.end()};
        }
    });
    nlohmann::json receipt{{"start", start_}};
    if (settings_.fences) {
        receipt["newest_fence"] = newest_fence_;
    }
    call->answer(200, receipt);
}

void engine_role::refresh_report()
{
    nlohmann::json versions = nlohmann::json::array();
    for (const std::string& name : loaded_) {
        const std::size_t at = name.find('@');
        versions.push_back({{"model", name.substr(0, at)}, {"version", name.substr(at + 1)}});
    }
    nlohmann::json prefixes = nlohmann::json::array();
    for (const std::string& session : cached_.sessions()) {
        prefixes.push_back(stable_hash(session));
    }
    report_ = {{"fleet", settings_.fleet},   {"zone", settings_.zone},
               {"name", settings_.name},     {"start", start_},
               {"running", running_.size()}, {"queued", queue_.size()},
               {"slots", settings_.slots},   {"warm", warm_},
               {"leaving", faults_.leave},   {"versions", versions},
               {"role", role_name_},         {"cached_prefixes", prefixes}};
    report_time_ = loop_.time().now();
    loop_.schedule(settings_.report_lag, [this] { refresh_report(); });
}

void engine_role::set_faults(const nlohmann::json& faults)
{
    faults_.update(faults);
    if (faults.value("cold", false)) {
        become_cold();
    }
    if (faults.value("crash", false)) {
        loop_.post([this] { crash(); });
    }
}

nlohmann::json engine_role::counts() const
{
    return {{"runs", runs_},
            {"crashes", crashes_},
            {"orders", orders_},
            {"completed", completed_},
            {"stale_orders", stale_orders_},
            {"cancelled", cancelled_},
            {"running", running_.size()},
            {"warm", warm_}};
}

} // namespace

std::unique_ptr<role> make_engine_role(event_loop& loop, const role_settings& settings, crash_function crash)
{
    return std::make_unique<engine_role>(loop, settings, std::move(crash));
}

} // namespace agatespar::standin
