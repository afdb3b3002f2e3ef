#pragma once

#include "base/ids.h"

#include <chrono>
#include <string>
#include <vector>

namespace mustardtrail::gateway
{

/// Share of a route's requests that goes to one service.
struct service_share {
    service_id service;
    unsigned weight = 1; ///< Relative to the other shares of the route.
};

/// Whether a request may be sent again after an attempt that may have run.
enum class retry_semantics {
    idempotent, ///< May be run again from the start.
    resumable, ///< A stream: another server may continue it after the last delivered event.
    once, ///< Must run at most once.
};

/// Published routing rule for the requests to one host under one path prefix.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    retry_semantics retrySemantics = retry_semantics::once;
    bool isStream = false;
    bool isPublic = false; ///< Requires no API key of a customer.
    std::chrono::milliseconds timeout{ 0 }; ///< Limit until the answer is complete; 0: none.
    std::chrono::milliseconds latencyTarget{ 0 }; ///< Until the answer, for a stream until its first event.
    std::chrono::milliseconds eventGapTarget{ 0 }; ///< Longest gap between two events of a stream that counts as on time.
    int priority = 0; ///< 0 is the most urgent.
    unsigned maxServers = 1; ///< Limit of backend servers that one request may be sent to.
    std::vector<service_share> services;
};

} // namespace mustardtrail::gateway
