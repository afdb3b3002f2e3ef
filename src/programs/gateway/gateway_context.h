#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "gateway/answer_budget.h"
#include "gateway/fleet_state.h"
#include "gateway/latency_quantiles.h"
#include "gateway/memory_shares.h"
#include "gateway/placement_queue.h"
#include "gateway/reservation_rule.h"
#include "gateway/stop_schedule.h"
#include "http/client.h"
#include "programs/gateway/gateway_metrics.h"
#include "programs/gateway/rate_limited_log.h"
#include "programs/gateway/server_client.h"

#include <functional>
#include <map>
#include <optional>

namespace mustardtrail::gateway
{

/// State and services that all requests of one process share. Used only on the thread of its event loop.
struct gateway_context {
    fleet_state &state;
    http::client &client; ///< For the store.
    server_client &servers;
    const monotonic_clock &clock;
    random_source &random;
    rate_limited_log &log;
    gateway_metrics &metrics;
    std::chrono::milliseconds engineStallTimeout; ///< An engine ends work that depends on a lost engine after this time.
    std::function<void()> scheduleReport; ///< Reports this instance's changed work to the other instances shortly.
    std::function<store_position()> storePosition; ///< Latest change of the platform's store that this instance has applied.
    std::function<void(std::uint64_t era)> noteStoreEra; ///< Another instance has seen this era of the store.
    std::function<void(store_relay)> relayStoreChanges; ///< Forwards a store answer to the instances that rely on this one.
    std::function<void(peer_address)> requestMissingChanges; ///< Asks another instance for store changes that it relayed earlier.
    std::map<std::uint64_t, std::function<void(prompt_part)>> onQuarantined; ///< Of the requests that are being served.
    placement_queue queue; ///< Requests that wait for capacity at a server.
    bool isStopping = false;
    reservation_limits reservations;
    second_copies &secondCopies = state.secondCopies;
    std::function<void(server_key, const attempt_id &)> readPace{}; ///< Asks an engine how slow it is; the attempt is for the log.
    std::function<void(server_key, server_start_key, const attempt_id &)> verifyCrash{}; ///< Finds out whether the server really ended.
    std::optional<stop_schedule> stopSchedule{}; ///< While the process stops; `isEnding` becomes true with the final answers.
    latency_quantiles streamLengths{}; ///< From the first event to the end; see `recordLength`.
    answer_budget answers{ memory_shares::of(0).answers }; ///< What is held of servers' answers.
    bool isEnding = false; ///< The process is about to end: requests get their final answers now.
    std::map<std::uint64_t, std::function<void()>> onEnding{}; ///< Of the requests that are being served.
    std::map<std::uint64_t, std::function<void()>> onProcessEnd{}; ///< Of the requests that are being served.
    unsigned runningReleases = 0; ///< Orders to engines that end reservations.
};

} // namespace mustardtrail::gateway
