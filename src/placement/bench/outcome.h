#pragma once

#include "placement/bench/workload.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace mustardtrail::placement::bench
{

/// Result of one request.
struct request_outcome {
    arrival asked;
    std::optional<std::chrono::nanoseconds> firstToken; ///< Measured at the caller.
    std::optional<std::chrono::nanoseconds> refusedAfter;
};

/// Results of one session.
struct session_outcome {
    std::vector<request_outcome> requests; ///< Those that arrived after the warm-up.
    std::chrono::seconds measured{ 0 };
    int coldOverloads = 0;
};

/// A refusal is late when it arrives after more than this fraction of the target.
constexpr double lateRefusalPart = 0.1;

/// Statistics of a subset of the requests.
struct figures {
    std::size_t count = 0;
    double p50 = 0, p95 = 0, p99 = 0; ///< Time to first token in milliseconds, of requests that were not refused.
    double inTarget = 0; ///< Share of all.
    double refused = 0; ///< Share of all.
    double refusedLate = 0; ///< Share of all; see lateRefusalPart.
    double latestRefusal = 0; ///< p99 of the time until a refusal, in milliseconds.
    double tokensInTarget = 0; ///< Prompt tokens a second of requests that met their target.
    double tokensAsked = 0;
};

template<typename predicate> std::vector<request_outcome> select(const session_outcome &session, predicate wanted)
{
    std::vector<request_outcome> result;
    for (const request_outcome &request : session.requests) {
        if (wanted(request)) {
            result.push_back(request);
        }
    }
    return result;
}

figures figuresOf(const std::vector<request_outcome> &requests, std::chrono::seconds measured);

} // namespace mustardtrail::placement::bench
