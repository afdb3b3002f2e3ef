#pragma once

#include "base/ids.h"

#include <chrono>
#include <string>
#include <vector>

namespace mustardtrail::gateway
{

/// Part of a route's requests that goes to one service.
struct service_share {
    service_id service;
    unsigned weight = 1; ///< Relative to the other shares of the route.
};

/// What may be done with a request when its first attempt may have run.
enum class retry_semantics {
    idempotent, ///< May run again from the start.
    resumable, ///< A stream that another server may continue after the last delivered event.
    once, ///< Runs once at most.
};

/// Published rule for the requests of one host under one path prefix.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    retry_semantics retrySemantics = retry_semantics::once;
    bool isStream = false;
    bool isPublic = false; ///< Needs no key of a customer.
    std::chrono::milliseconds timeout{ 0 }; ///< Longest time until the final answer; 0: none.
    std::chrono::milliseconds latencyTarget{ 0 }; ///< To the answer, of a stream to its first event.
    std::chrono::milliseconds eventGapTarget{ 0 }; ///< Longest gap between events that is on time.
    int priority = 0; ///< 0 is the most urgent.
    unsigned maxServers = 1; ///< Backend servers that one request may be sent to.
    std::vector<service_share> services;
};

} // namespace mustardtrail::gateway
