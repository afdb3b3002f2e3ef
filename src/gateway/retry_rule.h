#pragma once

#include "base/clock.h"
#include "gateway/attempt_failure.h"
#include "gateway/resend_budget.h"
#include "gateway/route.h"

namespace mustardtrail::gateway
{

/// Action after a failed send.
enum class next_step {
    send_again, ///< To another server; a stream continues after the last delivered event.
    refuse, ///< The request has not run; tell the caller when to retry.
    relay_failure, ///< Relay the server's error response to the caller.
    fail, ///< The request may have run: 502, or 504 after the deadline.
    abort_answer, ///< The answer has begun and cannot be completed: close the connection.
};

/// State of one request after a failed send.
struct retry_state {
    retry_semantics retrySemantics = retry_semantics::once;
    bool mayHaveRun = false; ///< At any server so far, including the one that failed.
    unsigned possibleRuns = 0; ///< Servers that may have run it.
    unsigned maxServers = 1;
    bool hasBudget = false; ///< The resend budget has room.
    bool hasOtherServer = false;
    bool hasTime = false; ///< Another send can complete before the deadline.
    bool mayBeSent = true; ///< Not too many sends have failed.
};

/// Decides what to do when a server refused, failed, crashed or lost an answer. Never runs a request twice that may run
/// only once.
next_step decideRetry(const attempt_failure &failure, const retry_state &state);

/// For what the budget gives the next send. A request that may have run is lost without it, whatever its last send came to.
resend_budget::cause causeOfNextSend(const retry_state &state);

/// Whether another send after the failed one takes a new share of the resend budget, which limits arrivals at servers beyond the first.
/// `deliveredSends`: sends of the request that have reached a server so far.
bool needsResendBudget(const attempt_failure &failure, unsigned deliveredSends);

} // namespace mustardtrail::gateway
