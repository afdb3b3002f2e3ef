#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "membership/confirmation_settings.h"
#include "membership/detector_settings.h"
#include "membership/reader_settings.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace mustardtrail::membership
{

/// Who this node is, and the rates and bounds of its view.
struct view_settings {
    instance_id self;
    data_centre_id dataCentre;
    endpoint requests;
    endpoint heartbeats;
    std::uint64_t incarnation = 1; ///< Above that of any earlier start of the instance, such as the wall clock in milliseconds.
    std::string cluster; ///< Nodes of another cluster are not listened to.
    std::uint64_t seed = 1;

    std::chrono::milliseconds tickInterval{ 50 };
    std::chrono::milliseconds publishInterval{ 150 }; ///< Longest time between two views while only their confirmation changes.
    std::chrono::milliseconds watchWait{ 1000 }; ///< How long one read of the configuration waits for a change.
    std::chrono::milliseconds fetchTimeout{ 1000 }; ///< Of a delta from a peer.
    std::chrono::milliseconds listRefresh{ 300000 }; ///< Every node reads the list itself this often.
    std::chrono::milliseconds firstListWait{ 1000 }; ///< The configuration is not read before the list, or this.

    detector_settings detector;
    confirmation_settings confirmation;
    reader_settings config;
    reader_settings list{ .readers = 2, .period = std::chrono::milliseconds(1000) };

    bool asksPeersForDeltas = true; ///< Off only in tests of this mechanism.
    bool keepsLastGoodList = true; ///< Off only in tests of this mechanism.
    bool drains = true; ///< Off only in tests of this mechanism.
};

} // namespace mustardtrail::membership
