#pragma once

#include "base/ids.h"
#include "group/group_options.h"
#include "group/memory_reconciler.h"
#include "group/reservation_table.h"
#include "placement/placement_options.h"
#include "request/backend_attempt_options.h"
#include "request/key_home.h"
#include "request/request_core_options.h"

#include <chrono>
#include <cstdint>

namespace mustardtrail::node
{

/// Identity and bounds of the request path of one instance.
struct entry_options {
    instance_id self;
    std::uint64_t seed = 1;
    request::request_core_options requests;
    request::key_home_options keys;
    request::backend_attempt_options backends;
    placement::placement_options placement;
    group::group_options groups;
    group::reservation_options reservations;
    group::reconcile_options reconciling;
    std::chrono::milliseconds reportInterval{ 250 }; ///< Shortest time between two load reports of one engine.
    int reportsPerSecond = 8; ///< Of all engines of this instance together; bounds the control traffic.
    int eventsEvery = 4; ///< Every so many reports the engine's cache events are read too.
    int groupsEvery = 8; ///< Every so many reports the engine's groups are read too.
    std::chrono::milliseconds summaryInterval{ 1'000 };
    std::chrono::milliseconds peerTimeout{ 500 };
};

} // namespace mustardtrail::node
