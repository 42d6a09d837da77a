// Stand-in of a backend server of the users' platform: plain answers, resumable streams of several models, and faults.
#include "role.h"

#include <cstdlib>
#include <map>

namespace agatespar::standin {

namespace {

struct runner_faults {
    /// Refuses requests and reports them as not run.
    bool sheds{false};
    /// Runs requests and answers with an error.
    bool fails{false};
    /// Runs requests and closes the connection without an answer.
    bool loses_answers{false};
    /// Closes the connection of a stream in the middle of this event; 0: never.
    std::uint64_t breaks_at_event{0};
    /// Sends bytes at a high rate, instead of a plain answer or of any event but the first, until the client
    /// disconnects.
    bool endless{false};
    /// Sends single bytes at a low rate, instead of a plain answer or of any event but the first, until the client
    /// disconnects.
    bool trickles{false};
    bool never_ends() const { return endless || trickles; }
    /// Says in all answers that it is leaving.
    bool leaving{false};
    /// Time before an answer starts.
    std::chrono::milliseconds late{0};
    /// Confidence that is reported for answers of the small model.
    int confidence{90};
    /// Time between the events of a stream.
    std::chrono::milliseconds pace{10};
    /// Number of events in a stream.
    std::uint64_t events{6};
    /// If not empty, the process ends as soon as it has begun to answer a request that has this text in its body or in
    /// the list of its prompt's parts.
    std::string crash_text;
    /// Additional bytes in each event.
    std::uint64_t padding{0};
    /// Additional bytes in each plain answer.
    std::uint64_t answer_bytes{0};
};

class runner_role final : public role {
public:
    runner_role(event_loop& loop, const role_settings& settings) : loop_(loop), name_(settings.name) {}

    void handle(const std::shared_ptr<exchange>& call) override;
    void set_faults(const nlohmann::json& faults) override;
    nlohmann::json counts() const override { return {{"runs", runs_}, {"accounts", accounts_}}; }

private:
    void answer(const std::shared_ptr<exchange>& call);
    void stream(const std::shared_ptr<exchange>& call, std::uint64_t event);
    bool crashes(const exchange& call) const;
    void send_without_end(const std::shared_ptr<exchange>& call);

    event_loop& loop_;
    std::string name_;
    runner_faults faults_;
    std::map<std::string, std::uint64_t> runs_;
    /// Number of requests by client account and by whether the request had a key.
    std::map<std::string, std::uint64_t> accounts_;
};

} // namespace

void runner_role::handle(const std::shared_ptr<exchange>& call)
{
    const std::string id = call->header("X-Attempt-Id");
    call->add_header("X-Attempt-Id", id);
    call->add_header("X-Runner-Id", name_);
    if (faults_.leaving) {
        call->add_header("Server-Leaving", "1");
    }
    if (call->header("X-Expect-Runner") != name_) {
        call->refuse(421, "another server", "not_run");
        return;
    }
    if (faults_.sheds || id.empty()) {
        call->add_header("X-Not-Executed", "1");
        call->refuse(id.empty() ? 400 : 503, "not run", "not_run");
        return;
    }
    ++runs_[id];
    ++accounts_[call->header("X-Tenant") + (call->header("Authorization").empty() ? "" : " with a key")];
    loop_.schedule(faults_.late, [this, call] { answer(call); });
}

bool runner_role::crashes(const exchange& call) const
{
    const auto has_text = [this](const std::string& text) {
        return text.find(faults_.crash_text) != std::string::npos;
    };
    return !faults_.crash_text.empty() && (has_text(call.body()) || has_text(call.header("X-Prompt-Prefix")));
}

void runner_role::answer(const std::shared_ptr<exchange>& call)
{
    if (faults_.loses_answers) {
        call->drop();
        return;
    }
    call->add_header("X-Runner-Seal", name_ + "." + call->header("X-Attempt-Id"));
    if (crashes(*call)) {
        if (!call->header("X-Model").empty()) {
            call->begin_events();
        }
        loop_.schedule(faults_.pace, [] { std::_Exit(EXIT_FAILURE); });
        return;
    }
    if (faults_.fails) {
        call->refuse(500, "failed", "ran");
        return;
    }
    if (call->header("X-Model").empty() && faults_.never_ends()) {
        call->begin_events();
        send_without_end(call);
        return;
    }
    if (call->header("X-Model").empty()) {
        call->answer_bytes(200, "text/plain",
                           call->method() + " " + call->path() + " " + call->body() +
                               std::string(faults_.answer_bytes, 'a'));
        return;
    }
    const bool small = call->header("X-Model") == "small";
    call->add_header("X-Confidence", std::to_string(small ? faults_.confidence : 95));
    call->begin_events();
    const std::string last = call->header("Last-Event-Id");
    stream(call, last.empty() ? 1 : std::stoull(last) + 1);
}

void runner_role::stream(const std::shared_ptr<exchange>& call, std::uint64_t event)
{
    if (!call->is_open()) {
        return;
    }
    if (event > faults_.events) {
        call->end_events();
        return;
    }
    if (faults_.never_ends() && event > 1) {
        send_without_end(call);
        return;
    }
    const std::string text = "id: " + std::to_string(event) + "\ndata: " + call->header("X-Model") + " " +
                             std::to_string(event) + std::string(faults_.padding, 'p') + "\n\n";
    const bool breaks = event == faults_.breaks_at_event;
    call->send_text(breaks ? text.substr(0, text.size() / 2) : text);
    loop_.schedule(faults_.pace, [this, call, event, breaks] {
        if (breaks) {
            call->drop();
            return;
        }
        stream(call, event + 1);
    });
}

void runner_role::send_without_end(const std::shared_ptr<exchange>& call)
{
    if (!call->is_open()) {
        return;
    }
    const std::size_t step_bytes = faults_.trickles ? 1 : 256 * 1024;
    const std::chrono::milliseconds pace{faults_.trickles ? 50 : 5};
    call->send_text(std::string(step_bytes, 'a'));
    loop_.schedule(pace, [this, call] { send_without_end(call); });
}

void runner_role::set_faults(const nlohmann::json& faults)
{
    read_field(faults, "sheds", faults_.sheds);
    read_field(faults, "fails", faults_.fails);
    read_field(faults, "loses_answers", faults_.loses_answers);
    read_field(faults, "breaks_at_event", faults_.breaks_at_event);
    read_field(faults, "endless", faults_.endless);
    read_field(faults, "trickles", faults_.trickles);
    read_field(faults, "leaving", faults_.leaving);
    read_field(faults, "late_ms", faults_.late);
    read_field(faults, "confidence", faults_.confidence);
    read_field(faults, "pace_ms", faults_.pace);
    read_field(faults, "events", faults_.events);
    read_field(faults, "crash_text", faults_.crash_text);
    read_field(faults, "padding", faults_.padding);
    read_field(faults, "answer_bytes", faults_.answer_bytes);
}

std::unique_ptr<role> make_runner_role(event_loop& loop, const role_settings& settings)
{
    return std::make_unique<runner_role>(loop, settings);
}

} // namespace agatespar::standin
