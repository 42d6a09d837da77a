// Stand-in of the store of the users' platform: topics with conditional appends and the newest record of each key.
#include "role.h"

#include <glib.h>

#include <list>
#include <map>

namespace agatespar::standin {

namespace {

struct topic {
    /// Keys and values; an empty value deletes the key.
    std::vector<std::pair<std::string, std::string>> records;
    /// First offset that can be read.
    std::uint64_t first{0};
};

/// A long poll: a read that waits for the next record.
struct long_poll {
    std::shared_ptr<exchange> call;
    std::string name;
    std::uint64_t from{0};
};

class store_role final : public role {
public:
    explicit store_role(event_loop& loop) : loop_(loop) {}

    void handle(const std::shared_ptr<exchange>& call) override;
    void set_faults(const nlohmann::json& faults) override;
    nlohmann::json counts() const override { return {{"reads", reads_}, {"appends", appends_}}; }

private:
    void append(const std::shared_ptr<exchange>& call);
    void read(const std::shared_ptr<exchange>& call);
    void newest(const std::shared_ptr<exchange>& call);
    void put(const std::shared_ptr<exchange>& call);
    void answer_long_polls(const std::string& name);
    void restore_copy(bool rewrites);

    event_loop& loop_;
    std::map<std::string, topic> topics_;
    std::list<long_poll> long_polls_;
    bool down_{false};
    bool lose_answers_{false};
    /// Number of times that the store was restored from its copy, plus one.
    std::uint64_t era_{1};
    /// What restore_copy() restores.
    std::map<std::string, topic> copy_;
    std::uint64_t reads_{0};
    std::uint64_t appends_{0};
};

} // namespace

static std::string big_endian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text.push_back(static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU));
    }
    return text;
}

static std::uint64_t from_big_endian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes) {
        value = value << 8U | static_cast<unsigned char>(byte);
    }
    return value;
}

static std::string encode_records(const topic& source, std::uint64_t from)
{
    std::string bytes = big_endian(source.records.size(), 8) + big_endian(source.first, 8);
    for (std::uint64_t i = from; i < source.records.size(); ++i) {
        const auto& [key, value] = source.records[i];
        const std::size_t size = 1 + key.size() + value.size();
        bytes.append(big_endian(size, 4)).append(big_endian(key.size(), 1)).append(key).append(value);
    }
    return bytes;
}

void store_role::handle(const std::shared_ptr<exchange>& call)
{
    if (call->path() == "/admin/put") {
        put(call);
        return;
    }
    call->add_header("Store-Era", std::to_string(era_));
    if (down_) {
        call->refuse(503, "down");
        return;
    }
    if (call->path() == "/v1/log-append") {
        append(call);
    }
    else if (call->path() == "/v1/log-read") {
        read(call);
    }
    else if (call->path() == "/v1/log-newest") {
        newest(call);
    }
    else {
        call->refuse(404, "no such call");
    }
}

/// Appends one record from a JSON document, so that tests can write records of operators and servers without the binary
/// framing of log-append.
void store_role::put(const std::shared_ptr<exchange>& call)
{
    const auto document = nlohmann::json::parse(call->body());
    const auto name = document.at("topic").get<std::string>();
    const auto& value = document.at("value");
    topics_[name].records.emplace_back(document.at("key").get<std::string>(), value.is_null() ? ""
                                                                              : value.is_string()
                                                                                  ? value.get<std::string>()
                                                                                  : value.dump());
    call->answer(200, {{"offset", topics_[name].records.size() - 1}});
    answer_long_polls(name);
}

void store_role::append(const std::shared_ptr<exchange>& call)
{
    ++appends_;
    const std::string name = call->query_text("topic");
    topic& target = topics_[name];
    const std::uint64_t end = target.records.size();
    if (call->query_number("at", end) != end) {
        call->answer(412, {{"end", end}});
        return;
    }
    const std::string body = call->body();
    std::string_view rest = body;
    while (rest.size() > 4) {
        const std::string_view record = rest.substr(4, from_big_endian(rest.substr(0, 4)));
        const std::size_t key_size = static_cast<unsigned char>(record.front());
        target.records.emplace_back(record.substr(1, key_size), record.substr(1 + key_size));
        rest.remove_prefix(4 + record.size());
    }
    if (lose_answers_) {
        call->drop();
    }
    else {
        call->answer(200, {{"offset", end}, {"end", target.records.size()}});
    }
    answer_long_polls(name);
}

void store_role::read(const std::shared_ptr<exchange>& call)
{
    ++reads_;
    const std::string name = call->query_text("topic");
    const std::uint64_t from = call->query_number("from", 0);
    const topic& source = topics_[name];
    if (from < source.first || from > source.records.size()) {
        call->answer(410, {{"first", source.first}});
        return;
    }
    const std::uint64_t wait_ms = call->query_number("wait_ms", 0);
    if (from < source.records.size() || wait_ms == 0) {
        call->answer_bytes(200, "application/octet-stream", encode_records(source, from));
        return;
    }
    long_polls_.push_back({call, name, from});
    loop_.schedule(std::chrono::milliseconds{wait_ms}, [this, waiting_exchange = std::weak_ptr<exchange>{call}] {
        const auto found =
            std::find_if(long_polls_.begin(), long_polls_.end(),
                         [&waiting_exchange](const long_poll& each) { return each.call == waiting_exchange.lock(); });
        if (found != long_polls_.end()) {
            found->call->answer_bytes(200, "application/octet-stream",
                                      encode_records(topics_[found->name], found->from));
            long_polls_.erase(found);
        }
    });
}

void store_role::answer_long_polls(const std::string& name)
{
    for (auto each = long_polls_.begin(); each != long_polls_.end();) {
        if (each->name == name) {
            each->call->answer_bytes(200, "application/octet-stream", encode_records(topics_[name], each->from));
            each = long_polls_.erase(each);
        }
        else {
            ++each;
        }
    }
}

void store_role::newest(const std::shared_ptr<exchange>& call)
{
    ++reads_;
    const std::string after = call->query_text("after");
    const topic& source = topics_[call->query_text("topic")];
    std::map<std::string, std::pair<std::uint64_t, std::string>> records;
    for (std::uint64_t i = 0; i < source.records.size(); ++i) {
        records[source.records[i].first] = {i, source.records[i].second};
    }
    // Pages are small so that tests with few records read several pages.
    constexpr std::size_t page = 3;
    nlohmann::json items = nlohmann::json::array();
    bool more = false;
    for (const auto& [key, record] : records) {
        if (key <= after || record.second.empty()) {
            continue;
        }
        if (items.size() == page) {
            more = true;
            break;
        }
        char* encoded = g_base64_encode(reinterpret_cast<const guchar*>(record.second.data()), record.second.size());
        items.push_back({{"key", key}, {"value", encoded}, {"offset", record.first}});
        g_free(encoded);
    }
    call->answer(200, {{"items", std::move(items)}, {"more_pages", more}, {"end", source.records.size()}});
}

void store_role::set_faults(const nlohmann::json& faults)
{
    read_field(faults, "down", down_);
    read_field(faults, "lose_answers", lose_answers_);
    if (faults.contains("forget")) {
        topic& trimmed = topics_[faults.at("forget").get<std::string>()];
        trimmed.first = trimmed.records.size();
    }
    if (faults.value("keep_copy", false)) {
        copy_ = topics_;
    }
    if (faults.value("restore_copy", false)) {
        restore_copy(faults.value("rewrites", true));
    }
    if (down_) {
        for (long_poll& each : std::exchange(long_polls_, {})) {
            each.call->drop();
        }
    }
}

/// Goes back to the copy. @param rewrites of the records that it lacks, operators and servers write the newest of each
/// key again at once; otherwise the test does.
void store_role::restore_copy(bool rewrites)
{
    const std::map<std::string, topic> lost = std::exchange(topics_, copy_);
    ++era_;
    for (const auto& [name, before] : lost) {
        if (!rewrites || (name != "keyed.op" && name != "keyed.servers")) {
            continue;
        }
        topic& restored = topics_[name];
        std::map<std::string, std::string> newest;
        for (std::size_t i = restored.records.size(); i < before.records.size(); ++i) {
            newest[before.records[i].first] = before.records[i].second;
        }
        restored.records.insert(restored.records.end(), newest.begin(), newest.end());
    }
    for (long_poll& each : std::exchange(long_polls_, {})) {
        each.call->drop();
    }
}

std::unique_ptr<role> make_store_role(event_loop& loop)
{
    return std::make_unique<store_role>(loop);
}

} // namespace agatespar::standin
