#include "gateway/second_copy_rule.h"

#include "gateway/server_choice.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

using action = second_copy_verdict::action;

bool isShortOfCapacity(const second_copy_state &state)
{
    return static_cast<double>(state.freeSlots) < minFreeShare * state.slots;
}

// Latencies of slow sends have a heavy tail: one that has taken long is expected to take about as long again.
bool canCopyWin(const second_copy_state &state)
{
    const auto firstTimeLeft = std::max(state.elapsed, state.firstForecast - state.elapsed);
    return *state.copyForecast < firstTimeLeft && *state.copyForecast < state.timeLeft;
}

} // namespace

bool mayBeCopied(const route &route)
{
    const auto copied = route.isStream ? retry_semantics::resumable : retry_semantics::idempotent;
    return route.retrySemantics == copied && route.maxServers > 1;
}

bool isFitForCopy(const placement_candidate &candidate, const copy_server_state &state)
{
    return hasFreeSlot(candidate) && !state.isCold && !state.isSlow && candidate.slowness <= 1.0;
}

second_copy_verdict decideSecondCopy(const second_copy_state &state)
{
    if (!state.isRepeatable) {
        return { action::no, {}, "not_repeatable" };
    }
    if (state.hasFirstEvent) {
        return { action::no, {}, "answer_begun" };
    }
    if (state.attempts >= state.maxAttempts) {
        return { action::no, {}, "attempts" };
    }
    if (state.isPromptDoubted) {
        return { action::no, {}, "prompt_doubted" };
    }
    if (state.slow.samples < minLatencySamples) {
        return { action::no, {}, "few_samples" };
    }
    if (state.elapsed < state.slow.value) {
        return { action::wait, state.slow.value, "not_slow" };
    }
    if (state.waitingPrompts > 0) {
        return { action::no, {}, "prompts_wait" };
    }
    if (isShortOfCapacity(state)) {
        return { action::no, {}, "few_free_slots" };
    }
    if (!state.copyForecast) {
        return { action::no, {}, "no_fit_server" };
    }
    if (!canCopyWin(state)) {
        return { action::no, {}, "cannot_win" };
    }
    if (!state.isWithinLimit) {
        return { action::no, {}, "limit" };
    }
    if (!state.hasBudget) {
        return { action::no, {}, "budget" };
    }
    return { action::send, {}, "slow" };
}

std::string_view toString(second_copy_verdict::action next)
{
    switch (next) {
    case action::send:
        return "send";
    case action::wait:
        return "wait";
    case action::no:
        return "no";
    }
    return "no";
}

} // namespace mustardtrail::gateway
