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
    switch (state.repeat) {
    case repetition::idempotent:
        return !failure.hasStarted;
    case repetition::resumable:
        return !failure.hasStarted || failure.lastEvent.has_value();
    case repetition::once:
        return false;
    }
    return false;
}

} // namespace

next_step afterFailure(const attempt_failure &failure, const retry_state &state)
{
    const bool hasServers = state.hasOtherServer && state.sends < state.maxServers;
    if (hasServers && state.hasBudget && state.hasTime && mayRepeat(failure, state)) {
        return next_step::send_again;
    }
    if (failure.hasStarted) {
        return next_step::break_off;
    }
    if (failure.hasAnswer) {
        return next_step::pass_on;
    }
    return state.mayHaveRun ? next_step::fail : next_step::refuse;
}

} // namespace mustardtrail::gateway
