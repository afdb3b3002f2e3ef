#include "gateway/retry_rule.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;

namespace
{

retry_state retryableState(retry_semantics retrySemantics)
{
    retry_state state;
    state.retrySemantics = retrySemantics;
    state.maxServers = 2;
    state.hasBudget = true;
    state.hasOtherServer = true;
    state.hasTime = true;
    return state;
}

attempt_failure lostAnswer()
{
    attempt_failure failure;
    failure.outcome = verdict::may_have_run;
    return failure;
}

retry_state afterPossibleRun(retry_semantics retrySemantics)
{
    retry_state state = retryableState(retrySemantics);
    state.mayHaveRun = true;
    state.possibleRuns = 1;
    return state;
}

} // namespace

Test(retry_rule, aRequestThatRunsOnceIsNeverSentAgainAfterItMayHaveRun)
{
    cr_assert(decideRetry(lostAnswer(), afterPossibleRun(retry_semantics::once)) == next_step::fail);
}

Test(retry_rule, aRefusedRequestIsSentToAnotherServerEvenIfItMayRunOnlyOnce)
{
    attempt_failure refused;
    refused.outcome = verdict::not_run;
    cr_assert(decideRetry(refused, retryableState(retry_semantics::once)) == next_step::send_again);
}

Test(retry_rule, refusesWhenNothingHasRunAndNoServerIsLeft)
{
    attempt_failure refused;
    refused.outcome = verdict::not_run;
    retry_state state = retryableState(retry_semantics::once);
    state.hasOtherServer = false;
    cr_assert(decideRetry(refused, state) == next_step::refuse);
    state.mayHaveRun = true;
    cr_assert(decideRetry(refused, state) == next_step::fail);
}

Test(retry_rule, anIdempotentRequestIsSentAgainWithinServerLimitBudgetAndDeadline)
{
    cr_assert(decideRetry(lostAnswer(), afterPossibleRun(retry_semantics::idempotent)) == next_step::send_again);
    retry_state state = afterPossibleRun(retry_semantics::idempotent);
    state.possibleRuns = 2;
    cr_assert(decideRetry(lostAnswer(), state) == next_step::fail);
    state = afterPossibleRun(retry_semantics::idempotent);
    state.hasBudget = false;
    cr_assert(decideRetry(lostAnswer(), state) == next_step::fail);
    state = afterPossibleRun(retry_semantics::idempotent);
    state.hasTime = false;
    cr_assert(decideRetry(lostAnswer(), state) == next_step::fail);
}

Test(retry_rule, aBrokenStreamContinuesOnlyAfterAKnownEvent)
{
    attempt_failure broken = lostAnswer();
    broken.hasStarted = true;
    cr_assert(decideRetry(broken, afterPossibleRun(retry_semantics::resumable)) == next_step::abort_answer);
    broken.lastEventId = 12;
    cr_assert(decideRetry(broken, afterPossibleRun(retry_semantics::resumable)) == next_step::send_again);
    cr_assert(decideRetry(broken, afterPossibleRun(retry_semantics::once)) == next_step::abort_answer);
}

Test(retry_rule, relaysAServersErrorWhenNothingElseIsLeft)
{
    attempt_failure answered = lostAnswer();
    answered.outcome = verdict::ran;
    answered.hasAnswer = true;
    cr_assert(decideRetry(answered, afterPossibleRun(retry_semantics::once)) == next_step::relay_failure);
}

// A stream whose next server was full was cut: half of the budget was for it, as for a request that its caller can send again.
Test(retry_rule, aBegunRequestThatAServerRefusesMayUseTheWholeBudget)
{
    retry_state state = afterPossibleRun(retry_semantics::resumable);
    cr_assert(causeOfNextSend(state) == resend_budget::cause::interrupted);
    state.mayHaveRun = false;
    cr_assert(causeOfNextSend(state) == resend_budget::cause::refused);
}

// Sends whose connections were refused used up the budget, and streams were cut though servers were reached.
Test(retry_rule, aSendThatReachedNoServerLeavesItsShareOfTheBudgetToTheNext)
{
    attempt_failure unreached;
    unreached.outcome = verdict::not_run;
    unreached.isUnreachable = true;
    attempt_failure refused;
    refused.outcome = verdict::not_run;
    cr_assert_not(needsResendBudget(unreached, 0));
    cr_assert_not(needsResendBudget(unreached, 1));
    cr_assert_not(needsResendBudget(lostAnswer(), 0));
    cr_assert(needsResendBudget(lostAnswer(), 1));
    cr_assert(needsResendBudget(refused, 1));
}
