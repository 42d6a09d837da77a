// Adds counters to the store's calls and to the links to other VMs.
#include <agatespar/gateway/store_traffic.h>

#include <memory>

namespace agatespar {

const char* topic_label(fleet_topic topic)
{
    switch (topic) {
    case fleet_topic::operator_orders:
        return "orders";
    case fleet_topic::servers:
        return "servers";
    case fleet_topic::reports:
        return "reports";
    case fleet_topic::evidence:
        return "evidence";
    case fleet_topic::vms:
        return "vms";
    }
    return "unknown";
}

fleet_store count_store_calls(const fleet_store& store, metrics_registry& metrics, std::function<const char*()> role)
{
    const auto count = [&metrics, role = std::move(role)](const char* call, fleet_topic topic) {
        metrics
            .make_counter("agatespar_store_calls_total", "Calls of the platform's store, by what they were for.",
                          {{"call", call}, {"topic", topic_label(topic)}, {"role", role()}})
            .add();
    };
    fleet_store counted = store;
    counted.read_newest = [count, call = store.read_newest](fleet_topic topic, const std::string& after,
                                                            fleet_store::callback<newest_page> callback) {
        count("newest", topic);
        call(topic, after, std::move(callback));
    };
    counted.read_from = [count, call = store.read_from](fleet_topic topic, std::uint64_t from,
                                                        std::chrono::milliseconds wait,
                                                        fleet_store::callback<log_range> callback) {
        count("read", topic);
        call(topic, from, wait, std::move(callback));
    };
    counted.append = [count, call = store.append](fleet_topic topic, const std::vector<keyed_record>& records,
                                                  std::optional<std::uint64_t> expected_end,
                                                  std::function<void(append_result)> callback) {
        count("append", topic);
        call(topic, records, expected_end, std::move(callback));
    };
    return counted;
}

peer_link_opener count_relay_bytes(peer_link_opener open_link, metrics_registry& metrics)
{
    return [open_link = std::move(open_link), &metrics](const std::string& secret,
                                                        peer_receiver receiver) -> outcome<peer_link> {
        auto opened = open_link(secret, std::move(receiver));
        if (!opened) {
            return opened;
        }
        const auto counter_of = [&metrics](const char* kind) {
            return &metrics.make_counter("agatespar_relay_bytes_total",
                                         "Bytes of records and questions sent to other VMs.", {{"kind", kind}});
        };
        opened->send = [send = std::move(opened->send), pull_request_bytes = counter_of("question"),
                        record_bytes = counter_of("news")](const std::string& address, message_kind kind,
                                                           std::string payload) {
            (kind == message_kind::records_pull ? pull_request_bytes : record_bytes)->add(payload.size());
            return send(address, kind, std::move(payload));
        };
        return opened;
    };
}

} // namespace agatespar
