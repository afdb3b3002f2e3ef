#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "gateway/fleet_state.h"
#include "gateway/placement_queue.h"
#include "http/client.h"
#include "programs/gateway/gateway_metrics.h"
#include "programs/gateway/rate_limited_log.h"

#include <functional>

namespace mustardtrail::gateway
{

/// What the requests of one process share. Used on the one thread of its event loop.
struct gateway_context {
    fleet_state &state;
    http::client &client;
    const monotonic_clock &clock;
    random_source &random;
    rate_limited_log &log;
    gateway_metrics &metrics;
    std::chrono::milliseconds engineStallTimeout; ///< After this an engine ends work that depends on a lost engine.
    std::function<void()> scheduleReport; ///< Tells the other instances soon.
    std::function<std::uint64_t()> storeRevision; ///< Up to which the platform's store is known.
    std::function<void(store_relay)> relayStoreChanges; ///< Tells the instances of this data centre what the store answered.
    placement_queue queue; ///< Requests that wait for room.
    bool isStopping = false;
};

} // namespace mustardtrail::gateway
