// Writes and reads roll-out evidence as JSON.
#include <agatespar/gateway/evidence_record.h>
#include <agatespar/support/json.h>

#include <nlohmann/json.hpp>

namespace agatespar {

using nlohmann::json;

static json write_classes(const rollout_counts& counts)
{
    json classes = json::array();
    for (const rollout_tallies& each : counts.classes) {
        classes.push_back({each.target.good, each.target.bad, each.others.good, each.others.bad});
    }
    return classes;
}

keyed_record write_evidence(const rollout_evidence& evidence, const std::string& vm_name)
{
    rollout_tallies sum;
    for (const rollout_tallies& each : evidence.failures.classes) {
        sum.target += each.target;
        sum.others += each.others;
    }
    // The sums are for VMs that run an earlier version.
    json document{{"vm", evidence.vm},
                  {"service", evidence.service.value()},
                  {"target", evidence.target.value()},
                  {"target_good", sum.target.good},
                  {"target_bad", sum.target.bad},
                  {"others_good", sum.others.good},
                  {"others_bad", sum.others.bad},
                  {"classes", write_classes(evidence.failures)},
                  {"others_good_beside", evidence.failures.others_concurrent.good},
                  {"others_bad_beside", evidence.failures.others_concurrent.bad},
                  {"slow_classes", write_classes(evidence.slowness)},
                  {"others_fast_beside", evidence.slowness.others_concurrent.good},
                  {"others_slow_beside", evidence.slowness.others_concurrent.bad},
                  {"staying", evidence.pinned_sessions}};
    if (evidence.order_position) {
        document["order"] = evidence.order_position->offset;
        document["order_era"] = evidence.order_position->era.value();
    }
    return {vm_name + "/" + evidence.service.value(), document.dump(), 0};
}

/// @return a count of answers, far below the range of its type, so that sums of all VMs cannot overflow.
static std::uint64_t read_count(const json& number)
{
    constexpr std::uint64_t max_count = std::uint64_t{1} << 40U;
    return read_whole_number(number, "a count of answers", max_count);
}

static std::array<rollout_tallies, rollout_classes> read_classes(const json& classes)
{
    std::array<rollout_tallies, rollout_classes> tallies{};
    for (std::size_t i = 0; i < tallies.size(); ++i) {
        const json& row = classes.at(i);
        tallies[i] = {{read_count(row.at(0)), read_count(row.at(1))}, {read_count(row.at(2)), read_count(row.at(3))}};
    }
    return tallies;
}

/// Reads the counts of failures, of all classes together if an earlier version wrote the record.
static rollout_counts read_failures(const json& document)
{
    rollout_counts counts;
    if (const auto classes = document.find("classes"); classes != document.end()) {
        counts.classes = read_classes(*classes);
    }
    else {
        counts.classes[0].target = {read_count(document.at("target_good")), read_count(document.at("target_bad"))};
        counts.classes[0].others = {read_count(document.at("others_good")), read_count(document.at("others_bad"))};
    }
    // Optional: VMs that run an earlier version do not write these fields.
    counts.others_concurrent = {read_count(document.value("others_good_beside", json{0U})),
                                read_count(document.value("others_bad_beside", json{0U}))};
    return counts;
}

/// Reads the counts of slow answers; VMs that run an earlier version count these among the failures.
static rollout_counts read_slowness(const json& document)
{
    rollout_counts counts;
    if (const auto classes = document.find("slow_classes"); classes != document.end()) {
        counts.classes = read_classes(*classes);
        counts.others_concurrent = {read_count(document.at("others_fast_beside")),
                                    read_count(document.at("others_slow_beside"))};
    }
    return counts;
}

outcome<rollout_evidence> read_evidence(std::string_view text)
{
    const auto document = parse_json(text);
    if (!document) {
        return tl::make_unexpected(document.error());
    }
    try {
        rollout_evidence evidence;
        evidence.vm = document->at("vm").get<std::uint64_t>();
        evidence.service = service_name{document->at("service").get<std::string>()};
        evidence.target = version_name{document->at("target").get<std::string>()};
        evidence.failures = read_failures(*document);
        evidence.slowness = read_slowness(*document);
        evidence.pinned_sessions = document->at("staying").get<std::vector<std::uint64_t>>();
        if (const auto order = document->find("order"); order != document->end()) {
            const store_era era{document->value("order_era", std::uint64_t{0})};
            evidence.order_position = log_position{era, order->get<std::uint64_t>()};
        }
        return evidence;
    }
    catch (const json::exception& problem) {
        return failure(error_code::malformed, problem.what());
    }
    catch (const std::invalid_argument& problem) {
        return failure(error_code::malformed, problem.what());
    }
}

} // namespace agatespar
