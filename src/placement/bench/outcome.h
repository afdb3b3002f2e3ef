#pragma once

#include "placement/bench/workload.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace mustardtrail::placement::bench
{

/// What became of one request.
struct request_outcome {
    arrival asked;
    std::optional<std::chrono::nanoseconds> firstToken; ///< From the caller's side.
    std::optional<std::chrono::nanoseconds> refusedAfter;
};

/// What one session gave.
struct session_outcome {
    std::vector<request_outcome> requests; ///< Those that arrived after the warm-up.
    std::chrono::seconds measured{ 0 };
    int coldOverloads = 0;
};

/// A refusal is late when it comes later than this part of the target after the arrival.
constexpr double lateRefusalPart = 0.1;

/// Figures of a part of the requests.
struct figures {
    std::size_t count = 0;
    double p50 = 0, p95 = 0, p99 = 0; ///< First token in milliseconds, of those that were not refused.
    double inTarget = 0; ///< Share of all.
    double refused = 0; ///< Share of all.
    double refusedLate = 0; ///< Share of all; see lateRefusalPart.
    double latestRefusal = 0; ///< p99 of the time until a refusal, in milliseconds.
    double tokensInTarget = 0; ///< Prompt tokens a second of requests inside their target.
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
