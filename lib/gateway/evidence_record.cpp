// Writes and reads roll-out evidence as JSON.
#include <agatespar/gateway/evidence_record.h>
#include <agatespar/support/json.h>

#include <nlohmann/json.hpp>

namespace agatespar {

using nlohmann::json;

keyed_record write_evidence(const rollout_evidence& evidence, const std::string& vm_name)
{
    rollout_tallies sum;
    json classes = json::array();
    for (const rollout_tallies& each : evidence.classes) {
        sum.target += each.target;
        sum.others += each.others;
        classes.push_back({each.target.good, each.target.bad, each.others.good, each.others.bad});
    }
    // The sums are for VMs that run an earlier version.
    const json document{{"vm", evidence.vm},
                        {"service", evidence.service.value()},
                        {"target", evidence.target.value()},
                        {"target_good", sum.target.good},
                        {"target_bad", sum.target.bad},
                        {"others_good", sum.others.good},
                        {"others_bad", sum.others.bad},
                        {"classes", classes},
                        {"others_good_beside", evidence.others_good_concurrent},
                        {"others_bad_beside", evidence.others_bad_concurrent},
                        {"staying", evidence.pinned_sessions}};
    return {vm_name + "/" + evidence.service.value(), document.dump(), 0};
}

/// Reads the tallies by class, or of all classes together if an earlier version wrote the record.
static std::array<rollout_tallies, rollout_classes> read_classes(const json& document)
{
    std::array<rollout_tallies, rollout_classes> tallies{};
    const auto classes = document.find("classes");
    if (classes == document.end()) {
        tallies[0].target = {document.at("target_good").get<std::uint64_t>(),
                             document.at("target_bad").get<std::uint64_t>()};
        tallies[0].others = {document.at("others_good").get<std::uint64_t>(),
                             document.at("others_bad").get<std::uint64_t>()};
        return tallies;
    }
    for (std::size_t i = 0; i < tallies.size(); ++i) {
        const auto row = classes->at(i).get<std::array<std::uint64_t, 4>>();
        tallies[i] = {{row[0], row[1]}, {row[2], row[3]}};
    }
    return tallies;
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
        evidence.classes = read_classes(*document);
        // Optional: VMs that run an earlier version do not write these fields.
        evidence.others_good_concurrent = document->value("others_good_beside", std::uint64_t{0});
        evidence.others_bad_concurrent = document->value("others_bad_beside", std::uint64_t{0});
        evidence.pinned_sessions = document->at("staying").get<std::vector<std::uint64_t>>();
        return evidence;
    }
    catch (const json::exception& problem) {
        return failure(error_code::malformed, problem.what());
    }
}

} // namespace agatespar
