// Keeps the list of a service's retired versions, in the order in which they were retired.
#include <agatespar/gateway/retired_versions.h>

#include <algorithm>

namespace agatespar {

bool retire_version(std::vector<version_name>& retired, const version_name& version)
{
    if (is_retired(retired, version)) {
        return false;
    }
    if (retired.size() >= max_retired_versions) {
        retired.erase(retired.begin());
    }
    retired.push_back(version);
    return true;
}

bool reinstate_version(std::vector<version_name>& retired, const version_name& version)
{
    return std::erase(retired, version) > 0;
}

bool is_retired(std::span<const version_name> retired, const version_name& version)
{
    return std::find(retired.begin(), retired.end(), version) != retired.end();
}

} // namespace agatespar
