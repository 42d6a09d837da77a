// Writes and reads roll-out evidence as JSON.
#include <agatespar/gateway/evidence_record.h>
#include <agatespar/support/json.h>

#include <nlohmann/json.hpp>

namespace agatespar {

using nlohmann::json;

keyed_record write_evidence(const rollout_evidence& evidence, const std::string& vm_name)
{
    const json document{{"vm", evidence.vm},
                        {"service", evidence.service.value()},
                        {"target", evidence.target.value()},
                        {"target_good", evidence.target_good},
                        {"target_bad", evidence.target_bad},
                        {"others_good", evidence.others_good},
                        {"others_bad", evidence.others_bad},
                        {"others_good_beside", evidence.others_good_concurrent},
                        {"others_bad_beside", evidence.others_bad_concurrent},
                        {"staying", evidence.pinned_sessions}};
    return {vm_name + "/" + evidence.service.value(), document.dump(), 0};
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
        evidence.target_good = document->at("target_good").get<std::uint64_t>();
        evidence.target_bad = document->at("target_bad").get<std::uint64_t>();
        evidence.others_good = document->at("others_good").get<std::uint64_t>();
        evidence.others_bad = document->at("others_bad").get<std::uint64_t>();
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
