#pragma once

#include "request/retry_budget.h"

#include <chrono>
#include <cstddef>

namespace mustardtrail::request
{

struct request_core_options {
    retry_budget_options retries;
    int maxAttempts = 4; ///< Attempts of one request, the first included.
    int attemptsPerDataCentre = 2; ///< Failures in one data centre before the next attempt avoids it.
    std::chrono::milliseconds backoffBase{ 5 }; ///< Longest wait before the third attempt; doubles with each further one.
    std::chrono::milliseconds backoffLimit{ 100 };
    std::chrono::milliseconds exclusionResetDelay{ 250 }; ///< Wait of an interrupted request when every server failed it once.
    std::chrono::milliseconds minAttemptTime{ 20 }; ///< With less time left no further attempt starts.
    std::chrono::milliseconds deadlineMargin{ 10 }; ///< An attempt ends this long before its request, so that its verdict arrives.
    std::chrono::milliseconds gapTimeout{ 500 }; ///< Longest wait for a piece of an answer whose successors have arrived.
    std::size_t maxPiecesAhead = 64; ///< Pieces of one answer held until their turn.
    std::chrono::milliseconds claimTimeout{ 250 }; ///< Longest wait for one home of an idempotency key.
    std::chrono::milliseconds retryAfter{ 1000 }; ///< Given when the failure names no time to come back.
    bool enforceFirstToken = true; ///< End repeatable requests to models at their first-token target.
    std::size_t dumpLimit = 100; ///< Requests listed in a dump.
};

} // namespace mustardtrail::request
