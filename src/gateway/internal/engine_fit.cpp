#include "gateway/internal/engine_fit.h"

#include "gateway/engine_timing.h"

#include <algorithm>
#include <tuple>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds gapMargin{ 40 }; ///< Between a batch step and the streams' event gap target: network and prediction error.
// Of the gap target of latency-sensitive streams, for a batch step with a part of a long prompt; the rest is for streams that arrive.
constexpr double besideStreamsShare = 0.65;
constexpr milliseconds usualShortestGap{ 250 }; ///< Event gap target of latency-sensitive streams where it is not known.
constexpr microseconds stepLimit{ 300'000 }; ///< Longer backlogs are held here, as engines prefill the latest part first.

microseconds latencySensitiveStepLimit(const placement_request &request)
{
    const bool isKnown = request.shortestEventGapTarget.count() > 0 && request.shortestEventGapTarget <= maxLatencySensitiveGap;
    const milliseconds gap = isKnown ? request.shortestEventGapTarget : usualShortestGap;
    if (request.isCoordinated && request.eventGapTarget > maxLatencySensitiveGap) {
        return std::chrono::duration_cast<microseconds>(gap * besideStreamsShare);
    }
    return gap - gapMargin;
}

// An idle slow engine comes after healthy ones that would be done with a part earlier.
microseconds pendingWithPart(const placement_candidate &candidate)
{
    return pendingAt(candidate) + slowedBy(partTarget, candidate.slowness);
}

// A part of a long prompt can take longer than other long streams may pause.
bool exceedsEventGap(
    const placement_candidate &candidate, microseconds part, const engine_profile &engine, const placement_request &request)
{
    const milliseconds target = candidate.load.shortestEventGapTarget;
    return request.isCoordinated && target.count() > 0 && stepTimeWith(candidate, part, engine) > target - gapMargin;
}

} // namespace

std::int64_t largestShare(const engine_profile &engine)
{
    return std::max<std::int64_t>(static_cast<std::int64_t>(static_cast<double>(engine.memoryTokens) * reservationShare), 1);
}

memory_split splitMemory(std::int64_t tokens, const engine_profile &engine)
{
    if (tokens <= engine.memoryTokens) {
        return { 1, tokens };
    }
    const std::int64_t most = largestShare(engine);
    const auto holders = (tokens + most - 1) / most;
    return { static_cast<size_t>(holders), tokens / holders + 1 };
}

microseconds pendingAt(const placement_candidate &candidate)
{
    // What is overdue is measured and not derived from the published speed.
    return slowedBy(candidate.load.pendingPrefill, candidate.slowness) + candidate.load.overdue;
}

microseconds stepTimeWith(const placement_candidate &candidate, microseconds part, const engine_profile &engine)
{
    return pendingAt(candidate) + slowedBy(part + batchStepTime(engine, candidate.load), candidate.slowness);
}

bool wouldDisturb(const placement_candidate &candidate, microseconds part, const engine_profile &engine, const placement_request &request)
{
    // Parts for others go ahead of the engine's own prompt, which would wait as long as parts keep coming.
    const bool isAwaited = request.isCoordinated && candidate.load.unreadPrompts > 0 && request.eventGapTarget > maxLatencySensitiveGap;
    if (isAwaited || exceedsEventGap(candidate, part, engine, request)) {
        return true;
    }
    if (candidate.load.latencySensitiveRequests > 0) {
        return stepTimeWith(candidate, part, engine) > latencySensitiveStepLimit(request);
    }
    return pendingAt(candidate).count() > 0 && stepTimeWith(candidate, part, engine) > stepLimit;
}

bool canAnswer(const placement_candidate &candidate, std::int64_t tokens, const engine_profile &engine, int reserve)
{
    const int taken = static_cast<int>(candidate.load.requests + candidate.unseenRequests) + reserve;
    const bool isUnblocked = !candidate.isAtColdLimit && !candidate.isAtRateLimit && !candidate.isKeptForOther;
    return isUnblocked && taken < static_cast<int>(candidate.slots) && candidate.load.memoryTokens + tokens <= engine.memoryTokens;
}

bool isUsable(const placement_candidate &candidate)
{
    return !candidate.isSuspected && !candidate.isAtColdLimit && !candidate.isKeptForOther;
}

bool canHelp(
    const placement_candidate &candidate, microseconds part, const engine_profile &engine, const placement_request &request, time_point now)
{
    if (candidate.slowness > 1.0 && now + stepTimeWith(candidate, part, engine) + sendMargin >= request.firstEventDueAt) {
        return false;
    }
    return isUsable(candidate);
}

candidates_view orderedByPending(const std::vector<placement_candidate> &candidates)
{
    candidates_view ordered;
    for (const placement_candidate &each : candidates) {
        ordered.push_back(&each);
    }
    std::stable_sort(ordered.begin(), ordered.end(), [](const placement_candidate *left, const placement_candidate *right) {
        return std::tuple(left->isSuspected, pendingWithPart(*left), !left->isInOwnDataCentre, left->load.requests)
            < std::tuple(right->isSuspected, pendingWithPart(*right), !right->isInOwnDataCentre, right->load.requests);
    });
    return ordered;
}

candidates_view withoutLatencySensitive(const candidates_view &ordered)
{
    candidates_view free;
    for (const placement_candidate *each : ordered) {
        if (each->load.latencySensitiveRequests == 0 && !each->isSuspected) {
            free.push_back(each);
        }
    }
    return free;
}

candidates_view inOwnDataCentre(const candidates_view &ordered)
{
    candidates_view own;
    for (const placement_candidate *each : ordered) {
        if (each->isInOwnDataCentre && !each->isSuspected) {
            own.push_back(each);
        }
    }
    return own;
}

} // namespace mustardtrail::gateway
