#include "gateway/retry_rule.h"

namespace mustardtrail::gateway
{

namespace
{

bool mayRepeat(const attempt_failure &failure, const retry_state &state)
{
    if (!state.mayHaveRun) {
        return true;
    }
    switch (state.retrySemantics) {
    case retry_semantics::idempotent:
        return !failure.hasStarted;
    case retry_semantics::resumable:
        return !failure.hasStarted || failure.lastEventId.has_value();
    case retry_semantics::once:
        return false;
    }
    return false;
}

} // namespace

next_step decideRetry(const attempt_failure &failure, const retry_state &state)
{
    const bool hasServers = state.hasOtherServer && state.possibleRuns < state.maxServers;
    if (hasServers && state.hasBudget && state.hasTime && state.mayBeSent && mayRepeat(failure, state)) {
        return next_step::send_again;
    }
    if (failure.hasStarted) {
        return next_step::abort_answer;
    }
    if (failure.hasAnswer) {
        return next_step::relay_failure;
    }
    return state.mayHaveRun ? next_step::fail : next_step::refuse;
}

resend_budget::cause causeOfNextSend(const retry_state &state)
{
    return state.mayHaveRun ? resend_budget::cause::interrupted : resend_budget::cause::refused;
}

bool needsResendBudget(const attempt_failure &failure, unsigned deliveredSends)
{
    // What the budget gave to a send that reached no server is still to be used.
    const bool hasUnusedShare = (failure.isUnreachable || failure.isUnreserved) && failure.outcome == verdict::not_run;
    return deliveredSends > 0 && !hasUnusedShare;
}

} // namespace mustardtrail::gateway
