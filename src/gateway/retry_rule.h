#pragma once

#include "base/clock.h"
#include "gateway/attempt_failure.h"
#include "gateway/route.h"

namespace mustardtrail::gateway
{

/// What follows a failed send.
enum class next_step {
    send_again, ///< To another server, a stream from the event after the last delivered one.
    refuse, ///< It has not run; tell the caller when to come back.
    relay_failure, ///< Give the caller the server's own failure.
    fail, ///< It may have run: 502, or 504 after the deadline.
    abort_answer, ///< The answer has begun and cannot be finished: close the connection.
};

/// State of one request when a send has failed.
struct retry_state {
    retry_semantics repeat = retry_semantics::once;
    bool mayHaveRun = false; ///< After any send so far, this one included.
    unsigned possibleRuns = 0; ///< Servers that may have run it.
    unsigned maxServers = 1;
    bool hasBudget = false; ///< The fleet's budget of second sends has room here.
    bool hasOtherServer = false;
    bool hasTime = false; ///< Another send can end before the deadline.
};

/// Answers servers that refuse, fail, crash and lose answers, without running twice what may run once.
next_step decideRetry(const attempt_failure &failure, const retry_state &state);

} // namespace mustardtrail::gateway
