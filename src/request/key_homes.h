#pragma once

#include "base/ids.h"
#include "membership/fleet_view.h"

#include <cstddef>
#include <string>
#include <vector>

namespace mustardtrail::request
{

/// Number of instances that hold each key; a claim must be granted by all of them.
constexpr std::size_t homesPerKey = 2;

/// Input to the choice of homes for the keys of one data centre.
struct home_candidates {
    std::vector<data_centre_id> dataCentres; ///< Configured and in service, whether reachable or not.
    data_centre_id dataCentre; ///< Data centre of `instances`.
    std::vector<instance_id> instances; ///< Live and in service.

    bool operator==(const home_candidates &) const = default;
};

home_candidates homeCandidates(const membership::fleet_view &view, const data_centre_id &dataCentre);

/// Data centre that holds the homes of a key; empty when none is in service.
data_centre_id homeDataCentre(const std::vector<data_centre_id> &dataCentres, const customer_id &customer, const std::string &key);

/// Homes of a key, in the order in which they are claimed; empty when none is live.
std::vector<instance_id> keyHomes(const membership::fleet_view &view, const customer_id &customer, const std::string &key);

/// Homes of a key among these candidates; empty when its home data centre is a different one.
std::vector<instance_id> homesAmong(const home_candidates &candidates, const customer_id &customer, const std::string &key);

/// Whether the instance is a home of the key among these candidates.
bool isKeyHome(const home_candidates &candidates, const instance_id &instance, const customer_id &customer, const std::string &key);

} // namespace mustardtrail::request
