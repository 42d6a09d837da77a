// Stand-in of a plain service. Each call increments the state of its method and the run counter of its idempotency key.
#include "role.h"

#include <map>

namespace agatespar::standin {

namespace {

constexpr const char* attempt_header = "X-Attempt-Id";

struct plain_faults {
    std::chrono::milliseconds delay{0};
    /// Runs calls and never answers them.
    bool hang{false};
    /// Runs calls and closes the connection without an answer.
    bool lose_answer{false};
    /// Answers with the id of another attempt.
    bool crossed{false};
    /// Refuses all calls.
    bool refuse{false};
    /// If not 0, runs each call and answers with this status, without saying whether it ran.
    int unproven_status{0};
    /// Refuses all calls and reports the server as leaving.
    bool leave{false};
};

class plain_role final : public role {
public:
    plain_role(event_loop& loop, const role_settings& settings)
        : loop_(loop), settings_(settings), start_(new_start_id())
    {
    }

    void handle(const std::shared_ptr<exchange>& call) override;
    void set_faults(const nlohmann::json& faults) override;
    nlohmann::json counts() const override
    {
        return {{"runs", runs_}, {"methods", state_}, {"refused", refused_}, {"running", running_}};
    }

private:
    void handle_call(const std::shared_ptr<exchange>& call);
    bool has_old_fence(const std::shared_ptr<exchange>& call, const std::string& key);
    void answer(const std::shared_ptr<exchange>& call, const std::string& method, const std::string& key);
    nlohmann::json load() const;

    event_loop& loop_;
    role_settings settings_;
    std::uint64_t start_;
    plain_faults faults_;
    std::uint64_t running_{0};
    std::uint64_t refused_{0};
    std::map<std::string, std::uint64_t> runs_;
    std::map<std::string, std::uint64_t> state_;
    std::map<std::string, std::uint64_t> fences_;
    std::vector<std::shared_ptr<exchange>> hanging_;
};

void plain_role::handle(const std::shared_ptr<exchange>& call)
{
    if (call->path() == "/v1/load") {
        call->answer(200, load());
        return;
    }
    if (!call->path().starts_with("/v1/methods/")) {
        call->refuse(404, "no such resource");
        return;
    }
    call->add_header(attempt_header, call->header(attempt_header) + (faults_.crossed ? "1" : ""));
    handle_call(call);
}

nlohmann::json plain_role::load() const
{
    return {
        {"start", start_},          {"age_ms", 0},  {"running", running_},      {"queued", 0},
        {"slots", settings_.slots}, {"warm", true}, {"leaving", faults_.leave}, {"versions", nlohmann::json::array()}};
}

// Records the largest fencing number of each key. @return whether the call's number is smaller than it.
bool plain_role::has_old_fence(const std::shared_ptr<exchange>& call, const std::string& key)
{
    const std::string text = call->header("X-Fencing-Number");
    if (!settings_.fences || text.empty()) {
        return false;
    }
    const std::uint64_t fence = std::stoull(text);
    std::uint64_t& newest = fences_[key];
    if (fence < newest) {
        return true;
    }
    newest = fence;
    return false;
}

void plain_role::handle_call(const std::shared_ptr<exchange>& call)
{
    const std::string key = call->header("Idempotency-Key");
    const bool full = running_ >= settings_.slots;
    if (faults_.refuse || faults_.leave || full || has_old_fence(call, key)) {
        ++refused_;
        call->refuse(full ? 429 : 503, faults_.leave ? "leaving" : "refused");
        return;
    }
    const std::string method = call->path().substr(std::string{"/v1/methods/"}.size());
    ++runs_[key];
    ++state_[method];
    if (faults_.lose_answer) {
        // Posted to the loop, as the connection must not be closed from within the server's request handler.
        loop_.post([call] { call->drop(); });
        return;
    }
    if (faults_.hang) {
        hanging_.push_back(call);
        return;
    }
    ++running_;
    loop_.schedule(faults_.delay, [this, call, method, key] {
        --running_;
        answer(call, method, key);
    });
}

void plain_role::answer(const std::shared_ptr<exchange>& call, const std::string& method, const std::string& key)
{
    if (faults_.unproven_status != 0) {
        call->add_header("Retry-After", "1");
        call->answer(faults_.unproven_status, {{"message", "the database does not answer"}});
        return;
    }
    call->answer(200, {{"fleet", settings_.fleet},
                       {"server", settings_.name},
                       {"method", method},
                       {"key", key},
                       {"run", runs_[key]},
                       {"state", state_[method]}});
}

void plain_role::set_faults(const nlohmann::json& faults)
{
    read_field(faults, "delay_ms", faults_.delay);
    read_field(faults, "hang", faults_.hang);
    read_field(faults, "lose_answer", faults_.lose_answer);
    read_field(faults, "crossed", faults_.crossed);
    read_field(faults, "refuse", faults_.refuse);
    read_field(faults, "unproven_status", faults_.unproven_status);
    read_field(faults, "leave", faults_.leave);
}

} // namespace

std::unique_ptr<role> make_plain_role(event_loop& loop, const role_settings& settings)
{
    return std::make_unique<plain_role>(loop, settings);
}

} // namespace agatespar::standin
