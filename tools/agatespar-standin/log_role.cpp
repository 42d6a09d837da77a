// Stand-in of the log service; its streams are kept in memory.
#include "role.h"

#include <agatespar/platform/memory_log.h>

#include <set>

namespace agatespar::standin {

namespace {

class log_role final : public role {
public:
    log_role(event_loop& loop, const role_settings& settings)
        : log_(loop, settings.seed), service_(log_.service()), retained_(settings.retained_records)
    {
        log_faults limits;
        limits.appends_per_second = settings.appends_per_second;
        log_.set_faults(limits);
    }

    void handle(const std::shared_ptr<exchange>& call) override;
    void set_faults(const nlohmann::json& faults) override;
    nlohmann::json counts() const override;

private:
    void append(const std::shared_ptr<exchange>& call, const stream_name& stream);
    void read(const std::shared_ptr<exchange>& call, const stream_name& stream);
    void trim(const stream_name& stream);

    memory_log log_;
    log_service service_;
    std::uint64_t retained_;
    std::set<stream_name> streams_;
};

std::string decode(const std::string& text)
{
    gsize size = 0;
    guchar* bytes = g_base64_decode(text.c_str(), &size);
    std::string decoded{reinterpret_cast<const char*>(bytes), size};
    g_free(bytes);
    return decoded;
}

std::string encode(const std::string& bytes)
{
    char* text = g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()), bytes.size());
    std::string encoded{text};
    g_free(text);
    return encoded;
}

void log_role::handle(const std::shared_ptr<exchange>& call)
{
    static const std::string prefix = "/v1/streams/";
    static const std::string suffix = "/records";
    const std::string& path = call->path();
    if (!path.starts_with(prefix) || !path.ends_with(suffix) || path.size() <= prefix.size() + suffix.size()) {
        call->refuse(404, "no such resource");
        return;
    }
    const stream_name stream{path.substr(prefix.size(), path.size() - prefix.size() - suffix.size())};
    if (call->method() == "POST") {
        append(call, stream);
        return;
    }
    read(call, stream);
}

void log_role::append(const std::shared_ptr<exchange>& call, const stream_name& stream)
{
    append_request request{stream, {}};
    const auto document = nlohmann::json::parse(call->body());
    for (const auto& payload : document.at("payloads")) {
        request.payloads.push_back(decode(payload.get<std::string>()));
    }
    streams_.insert(stream);
    const bool down = log_.faults().down;
    service_.append(std::move(request), [this, call, stream, down](const outcome<append_receipt>& receipt) {
        trim(stream);
        if (receipt) {
            call->answer(200, {{"first", receipt->first.value()}});
        }
        else if (down) {
            call->refuse(503, receipt.error().message);
        }
        else {
            // The records were appended, but the answer is lost.
            call->drop();
        }
    });
}

void log_role::trim(const stream_name& stream)
{
    const log_offset next = log_.read_now({stream, log_offset{1}, 0}).next;
    if (retained_ != 0 && next.value() > retained_) {
        log_.trim(stream, log_offset{next.value() - retained_});
    }
}

void log_role::read(const std::shared_ptr<exchange>& call, const stream_name& stream)
{
    const read_request request{stream, log_offset{call->query_number("from", 1)}, call->query_number("limit", 256),
                               std::chrono::milliseconds{call->query_number("wait_ms", 0)}};
    service_.read(request, [call](const outcome<read_batch>& batch) {
        if (!batch) {
            call->refuse(503, batch.error().message);
            return;
        }
        nlohmann::json records = nlohmann::json::array();
        for (const log_record& record : batch->records) {
            records.push_back({{"offset", record.offset.value()}, {"payload", encode(record.payload)}});
        }
        call->answer(200, {{"first_retained", batch->first_retained.value()},
                           {"next", batch->next.value()},
                           {"records", std::move(records)}});
    });
}

void log_role::set_faults(const nlohmann::json& faults)
{
    log_faults current = log_.faults();
    read_field(faults, "down", current.down);
    read_field(faults, "lost_answers", current.lost_answer_probability);
    read_field(faults, "delay_ms", current.delay);
    read_field(faults, "appends_per_second", current.appends_per_second);
    log_.set_faults(current);
    if (faults.contains("trim")) {
        const auto& trimmed = faults.at("trim");
        log_.trim(stream_name{trimmed.at("stream").get<std::string>()},
                  log_offset{trimmed.at("first_retained").get<std::uint64_t>()});
    }
}

nlohmann::json log_role::counts() const
{
    nlohmann::json records = nlohmann::json::object();
    for (const stream_name& stream : streams_) {
        records[stream.value()] = log_.read_now({stream, log_offset{1}, 0}).next.value() - 1;
    }
    return {{"append_calls", log_.append_calls()}, {"records", std::move(records)}};
}

} // namespace

std::unique_ptr<role> make_log_role(event_loop& loop, const role_settings& settings)
{
    return std::make_unique<log_role>(loop, settings);
}

} // namespace agatespar::standin
