#pragma once

#include "request/retry_budget.h"

#include <chrono>
#include <cstddef>

namespace mustardtrail::request
{

struct request_core_options {
    retry_budget_options retries;
    int maxAttempts = 4; ///< Most attempts of one request, including the first.
    int attemptsPerDataCentre = 2; ///< Failed attempts in one data centre after which further ones avoid it.
    std::chrono::milliseconds backoffBase{ 5 }; ///< Longest wait before the third attempt; doubles with each further one.
    std::chrono::milliseconds backoffLimit{ 100 };
    std::chrono::milliseconds exclusionResetDelay{
        250
    }; ///< Wait of an interrupted request before it retries servers that failed it, when no other is left.
    std::chrono::milliseconds minAttemptTime{ 20 }; ///< No further attempt starts with less time left.
    std::chrono::milliseconds deadlineMargin{
        10
    }; ///< An attempt ends this long before its request's deadline, so that its verdict arrives in time.
    std::chrono::milliseconds gapTimeout{
        500
    }; ///< Longest wait for a missing piece of an answer after a later one or the end has arrived.
    std::size_t maxPiecesAhead = 64; ///< Out-of-order pieces buffered for one answer.
    std::chrono::milliseconds claimTimeout{ 250 }; ///< Longest wait for the reply of one home of an idempotency key.
    std::chrono::milliseconds retryAfter{ 1000 }; ///< Sent to the caller when the failure has no retry time of its own.
    bool enforceFirstToken = true; ///< Fail repeatable requests to models that miss their first-token target.
    std::size_t dumpLimit = 100; ///< Requests listed in a dump.
};

} // namespace mustardtrail::request
