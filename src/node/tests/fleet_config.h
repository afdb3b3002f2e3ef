#pragma once

#include "config/configuration.h"
#include "membership/peer.h"

#include <memory>
#include <vector>

namespace mustardtrail::node::testing
{

/// Three instances and seven backend servers in two data centres.
std::shared_ptr<config::configuration> makeFleetConfig();
std::vector<membership::peer> makeFleetPeers();

} // namespace mustardtrail::node::testing
