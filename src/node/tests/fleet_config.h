#pragma once

#include "config/configuration.h"
#include "membership/fleet_view.h"
#include "membership/peer.h"

#include <memory>
#include <vector>

namespace mustardtrail::node::testing
{

/// Three instances and seven backend servers in two data centres.
std::shared_ptr<config::configuration> makeFleetConfig();
std::vector<membership::peer> makeFleetPeers();
/// View of one of the instances in which e2 owns every backend server.
std::shared_ptr<membership::fleet_view> makeOwnerView(const char *self, time_point confirmedAt);

} // namespace mustardtrail::node::testing
