#pragma once

#include "base/ids.h"
#include "membership/fleet_view.h"

#include <cstddef>
#include <string>
#include <vector>

namespace mustardtrail::request
{

/// Instances that remember each key; a claim needs the grant of all of them.
constexpr std::size_t homesPerKey = 2;

/// What the choice of homes depends on, seen from one data centre.
struct home_candidates {
    std::vector<data_centre_id> dataCentres; ///< Configured and in service, whether reachable or not.
    data_centre_id dataCentre; ///< Whose instances are listed.
    std::vector<instance_id> instances; ///< Live and in service.

    bool operator==(const home_candidates &) const = default;
};

home_candidates homeCandidates(const membership::fleet_view &view, const data_centre_id &dataCentre);

/// Data centre that holds the homes of a key; empty when none is in service.
data_centre_id homeDataCentre(const std::vector<data_centre_id> &dataCentres, const customer_id &customer, const std::string &key);

/// Homes of a key, in the order in which they are asked; empty when none is live.
std::vector<instance_id> keyHomes(const membership::fleet_view &view, const customer_id &customer, const std::string &key);

/// Homes of a key under these candidates; empty when its home data centre is another one.
std::vector<instance_id> homesAmong(const home_candidates &candidates, const customer_id &customer, const std::string &key);

/// Whether the instance is a home of the key under these candidates.
bool isKeyHome(const home_candidates &candidates, const instance_id &instance, const customer_id &customer, const std::string &key);

} // namespace mustardtrail::request
