#pragma once

#include "base/units.h"

#include <string>
#include <vector>

namespace mustardtrail::proof
{

/// Size and behaviour of a small fleet of real processes on the loopback address.
struct fleet_options {
    std::string binaries; ///< Folder of the programs.
    std::vector<int> enginesPerDataCentre{ 4, 1, 1 }; ///< One data centre, with one entry instance, for each count.
    int services = 1; ///< All in the first data centre.
    token_count engineMemory = 200'000;
    int prefillTokensPerSecond = 400'000;
    int decodeTokensPerSecond = 200;
    int coldRequests = 2;
    int warmAfter = 2;
    std::string liveLag = "300ms";
    std::string balancerLag = "300ms";
    std::string progressLimit = "10s"; ///< Longest gap of a caller that reads or writes.
    bool allowCuts = false; ///< The instances can be cut off from each other and the platform; see fleet_links.
    bool keepLogs = false; ///< Keep the folder with settings and logs.
};

} // namespace mustardtrail::proof
