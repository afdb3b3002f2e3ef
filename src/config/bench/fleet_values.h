#pragma once

#include "config/config_update.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardtrail::config
{

/// Size of a fleet for measurements.
struct fleet_size {
    int dataCentres = 9;
    int backendServers = 12'000;
    int customers = 550;
    int models = 8;
    int classes = 10;
    int partsPerDataCentre = 1; ///< Keys over which a data centre spreads its backend servers.
};

std::vector<config_entry> fleetEntries(const fleet_size &size, std::int64_t revision);
/// Value of one key of backend servers; the first of them carries the given limit.
std::string backendServersText(const fleet_size &size, int dataCentre, int part, int firstWarmRequests);
std::string backendServersKey(const fleet_size &size, int dataCentre, int part);

} // namespace mustardtrail::config
