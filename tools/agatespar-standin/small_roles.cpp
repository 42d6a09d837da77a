// Stand-ins of the VM list, the rating service and the weight store.
#include "role.h"

#include <agatespar/support/hash.h>

#include <map>
#include <optional>

namespace agatespar::standin {

namespace {

// Faults that every role in this file can simulate.
struct answer_faults {
    bool down{false};
    std::chrono::milliseconds delay{0};

    void update(const nlohmann::json& faults)
    {
        read_field(faults, "down", down);
        read_field(faults, "delay_ms", delay);
    }
};

// Waits for the configured delay, then answers with the document, or with status 503 if the service is set to be down.
void answer_after_delay(event_loop& loop, const answer_faults& faults, const std::shared_ptr<exchange>& call,
                        nlohmann::json document)
{
    loop.schedule(faults.delay, [call, down = faults.down, document = std::move(document)] {
        if (down) {
            call->refuse(503, "the service is down");
            return;
        }
        call->answer(200, document);
    });
}

// The VM list: returns the list that a test has set.
class vms_role final : public role {
public:
    explicit vms_role(event_loop& loop) : loop_(loop) {}

    void handle(const std::shared_ptr<exchange>& call) override
    {
        if (call->path() == "/admin/vms" && call->method() == "POST") {
            // The new list becomes visible to readers after the lag.
            loop_.schedule(lag_, [this, vms = nlohmann::json::parse(call->body()).at("vms")] { vms_ = vms; });
            call->answer(200, nlohmann::json::object());
            return;
        }
        ++reads_;
        answer_after_delay(loop_, faults_, call, {{"vms", vms_}});
    }
    void set_faults(const nlohmann::json& faults) override
    {
        faults_.update(faults);
        read_field(faults, "lag_ms", lag_);
    }
    nlohmann::json counts() const override { return {{"reads", reads_}}; }

private:
    event_loop& loop_;
    answer_faults faults_;
    std::chrono::milliseconds lag_{0};
    nlohmann::json vms_ = nlohmann::json::array();
    std::uint64_t reads_{0};
};

// The rating service: rates answers as good or bad and counts the ratings by version.
class rating_role final : public role {
public:
    explicit rating_role(event_loop& loop) : loop_(loop) {}

    void handle(const std::shared_ptr<exchange>& call) override
    {
        const auto request = nlohmann::json::parse(call->body());
        const std::string version =
            request.at("model").get<std::string>() + "@" + request.at("version").get<std::string>();
        const bool good = is_good(request, version);
        ++ratings_[version][good ? "good" : "bad"];
        answer_after_delay(loop_, faults_, call, {{"rating", good ? "good" : "bad"}});
    }
    void set_faults(const nlohmann::json& faults) override
    {
        faults_.update(faults);
        read_field(faults, "good_share", good_share_);
    }
    nlohmann::json counts() const override { return {{"ratings", ratings_}}; }

private:
    // An empty or garbled answer is bad. Any other is good with the probability that is set for the version, by default
    // 1. The choice is derived from a hash, so that the same request to the same version always gets the same rating.
    bool is_good(const nlohmann::json& request, const std::string& version) const
    {
        const auto answer = request.at("answer").get<std::string>();
        if (answer.empty() || answer.find("garbled") != std::string::npos) {
            return false;
        }
        const auto share = good_share_.find(version);
        if (share == good_share_.end()) {
            return true;
        }
        constexpr double hash_range = 18446744073709551616.0;
        const std::uint64_t hash = stable_hash(request.at("request").get<std::string>(), stable_hash(version));
        return static_cast<double>(hash) / hash_range < share->second;
    }

    event_loop& loop_;
    answer_faults faults_;
    std::map<std::string, double> good_share_;
    std::map<std::string, std::map<std::string, std::uint64_t>> ratings_;
};

// The weight store: grants a limited rate of loads of model weights, and refuses the others with status 429.
class weights_role final : public role {
public:
    weights_role(event_loop& loop, const role_settings& settings)
        : loop_(loop), interval_(std::chrono::duration_cast<duration>(
                           std::chrono::duration<double>{1.0 / settings.grants_per_second}))
    {
    }

    void handle(const std::shared_ptr<exchange>& call) override
    {
        const steady_time now = loop_.time().now();
        if (now < next_grant_) {
            ++refused_;
            const auto wait = std::chrono::ceil<std::chrono::seconds>(next_grant_ - now);
            call->add_header("Retry-After", std::to_string(wait.count()));
            call->refuse(429, "the rate is used up");
            return;
        }
        next_grant_ = now + interval_;
        ++granted_;
        constexpr std::uint64_t weight_bytes = 14'000'000'000;
        answer_after_delay(loop_, faults_, call,
                           {{"token", "grant-" + std::to_string(granted_)}, {"bytes", weight_bytes}});
    }
    void set_faults(const nlohmann::json& faults) override { faults_.update(faults); }
    nlohmann::json counts() const override { return {{"granted", granted_}, {"refused", refused_}}; }

private:
    event_loop& loop_;
    duration interval_;
    answer_faults faults_;
    steady_time next_grant_;
    std::uint64_t granted_{0};
    std::uint64_t refused_{0};
};

} // namespace

std::unique_ptr<role> make_vms_role(event_loop& loop)
{
    return std::make_unique<vms_role>(loop);
}

std::unique_ptr<role> make_rating_role(event_loop& loop)
{
    return std::make_unique<rating_role>(loop);
}

std::unique_ptr<role> make_weights_role(event_loop& loop, const role_settings& settings)
{
    return std::make_unique<weights_role>(loop, settings);
}

} // namespace agatespar::standin
