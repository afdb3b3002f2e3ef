#include "gateway/retry_rule.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;

namespace
{

retry_state openState(retry_semantics repeat)
{
    retry_state state;
    state.repeat = repeat;
    state.maxServers = 2;
    state.hasBudget = true;
    state.hasOtherServer = true;
    state.hasTime = true;
    return state;
}

attempt_failure lost()
{
    attempt_failure failure;
    failure.outcome = verdict::may_have_run;
    return failure;
}

retry_state afterOneRun(retry_semantics repeat)
{
    retry_state state = openState(repeat);
    state.mayHaveRun = true;
    state.possibleRuns = 1;
    return state;
}

} // namespace

Test(retry_rule, aRequestThatRunsOnceIsNeverSentAgainAfterItMayHaveRun)
{
    cr_assert(decideRetry(lost(), afterOneRun(retry_semantics::once)) == next_step::fail);
}

Test(retry_rule, aRefusedRequestGoesToAnotherServerWhateverItsKind)
{
    attempt_failure refused;
    refused.outcome = verdict::not_run;
    cr_assert(decideRetry(refused, openState(retry_semantics::once)) == next_step::send_again);
}

Test(retry_rule, refusesWhenNothingHasRunAndNoServerIsLeft)
{
    attempt_failure refused;
    refused.outcome = verdict::not_run;
    retry_state state = openState(retry_semantics::once);
    state.hasOtherServer = false;
    cr_assert(decideRetry(refused, state) == next_step::refuse);
    state.mayHaveRun = true;
    cr_assert(decideRetry(refused, state) == next_step::fail);
}

Test(retry_rule, anIdempotentRequestIsSentAgainWithinItsServersBudgetAndTime)
{
    cr_assert(decideRetry(lost(), afterOneRun(retry_semantics::idempotent)) == next_step::send_again);
    retry_state state = afterOneRun(retry_semantics::idempotent);
    state.possibleRuns = 2;
    cr_assert(decideRetry(lost(), state) == next_step::fail);
    state = afterOneRun(retry_semantics::idempotent);
    state.hasBudget = false;
    cr_assert(decideRetry(lost(), state) == next_step::fail);
    state = afterOneRun(retry_semantics::idempotent);
    state.hasTime = false;
    cr_assert(decideRetry(lost(), state) == next_step::fail);
}

Test(retry_rule, aBrokenStreamContinuesOnlyAfterAKnownEvent)
{
    attempt_failure broken = lost();
    broken.hasStarted = true;
    cr_assert(decideRetry(broken, afterOneRun(retry_semantics::resumable)) == next_step::abort_answer);
    broken.lastEventId = 12;
    cr_assert(decideRetry(broken, afterOneRun(retry_semantics::resumable)) == next_step::send_again);
    cr_assert(decideRetry(broken, afterOneRun(retry_semantics::once)) == next_step::abort_answer);
}

Test(retry_rule, relaysAServersErrorWhenNothingElseIsLeft)
{
    attempt_failure answered = lost();
    answered.outcome = verdict::ran;
    answered.hasAnswer = true;
    cr_assert(decideRetry(answered, afterOneRun(retry_semantics::once)) == next_step::relay_failure);
}
