// Renders a routing decision and its explanation as sentences for operators.
#include <agatespar/routing/explain.h>

#include <cstdio>
#include <string_view>

namespace agatespar {

static std::string rounded(double value, int digits)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return text.data();
}

static std::string_view description(filter_reason reason)
{
    switch (reason) {
    case filter_reason::version_not_allowed:
        return "not allowed to the account";
    case filter_reason::version_withdrawn:
        return "withdrawn";
    case filter_reason::version_stopped_by_guard:
        return "stopped by the version guard";
    case filter_reason::version_not_selected:
        return "not the session's version";
    case filter_reason::server_unhealthy:
        return "unhealthy";
    case filter_reason::server_leaving:
        return "leaving";
    case filter_reason::server_full:
        return "full";
    case filter_reason::server_no_permit:
        return "without a permit";
    case filter_reason::server_already_tried:
        return "tried before";
    case filter_reason::server_not_idle:
        return "busy while the request must run alone";
    case filter_reason::predicted_past_deadline:
        return "too slow for the deadline";
    }
    return "filtered";
}

static std::string_view description(decision_reason reason)
{
    switch (reason) {
    case decision_reason::lowest_score:
        return "it had the best score";
    case decision_reason::cached_prefix:
        return "it holds the prompt's beginning in its cache and had the best score";
    case decision_reason::only_candidate:
        return "it was the only candidate";
    case decision_reason::fallback:
        return "no server of the preferred versions was free";
    case decision_reason::other_zone:
        return "this VM's zone had no free server";
    }
    return "it was chosen";
}

/// @return the number of excluded versions and servers by reason, e.g. "1 version withdrawn, 2 servers full"; empty if
/// none was excluded.
static std::string filter_summary(const explanation& explained)
{
    std::string text;
    for (std::size_t i = 0; i < filter_reason_count; ++i) {
        const std::uint16_t number = explained.filtered[i];
        if (number == 0)
            continue;
        const auto reason = static_cast<filter_reason>(i);
        const std::string_view noun = reason <= filter_reason::version_not_selected ? "version" : "server";
        text += text.empty() ? "" : ", ";
        text += std::to_string(number) + " " + std::string{noun} + (number == 1 ? " " : "s ");
        text += description(reason);
    }
    return text;
}

static std::string chosen_sentence(const decision& chosen, const routing_names& names)
{
    std::string text = chosen.forward ? "Sent to zone " + names.zone(chosen.zone) + " for version "
                                      : "Sent to server " + names.server(chosen.server) + " with version ";
    text += names.version(chosen.version) + ", because " + std::string{description(chosen.reason)};
    const auto first_ms = std::chrono::duration_cast<std::chrono::milliseconds>(chosen.predicted_first_token).count();
    const auto total_ms = std::chrono::duration_cast<std::chrono::milliseconds>(chosen.predicted_total).count();
    text += "; expected to cost " + rounded(chosen.expected_cost, 2) + ", with the first token after " +
            std::to_string(first_ms) + " ms and the end after " + std::to_string(total_ms) + " ms.";
    if (chosen.moved_from_withdrawn) {
        text += " The session moved here from version " + names.version(chosen.moved_from) +
                ", which is withdrawn and names this one as its successor.";
    }
    return text;
}

static std::string refused_sentence(const error& refused, const explanation& explained)
{
    std::string text = "Refused as " + std::string{to_string(refused.code)} + " before anything ran";
    if (explained.quarantined)
        text += ", because earlier attempts of the same request crashed servers";
    else if (explained.zone_out_of_service)
        text += ", because this VM's zone is out of service and no other zone has a free server";
    else if (refused.code == error_code::not_allowed)
        text += ", because the client account allows none of the requested versions";
    else if (refused.code == error_code::withdrawn)
        text += ", because every allowed version is withdrawn, stopped by the version guard or has no traffic share";
    text += ".";
    if (refused.retry_after)
        text += " Retry after " + std::to_string(refused.retry_after->count()) + " ms.";
    return text;
}

static std::string runner_up_sentence(const explanation& explained, const routing_names& names)
{
    if (explained.top.count < 2)
        return {};
    const scored_candidate& next = explained.top.items[1];
    return " Next best was " + names.server(next.server) + " with score " + rounded(next.score, 2) + " against " +
           rounded(explained.top.items[0].score, 2) + " (lower is better).";
}

std::string explain_as_sentence(const outcome<decision>& result, const explanation& explained,
                                const routing_names& names)
{
    std::string text = result ? chosen_sentence(*result, names) : refused_sentence(result.error(), explained);
    if (result && !result->forward)
        text += runner_up_sentence(explained, names);
    const std::string excluded_text = filter_summary(explained);
    if (!excluded_text.empty())
        text += " Left out: " + excluded_text + ".";
    return text;
}

} // namespace agatespar
