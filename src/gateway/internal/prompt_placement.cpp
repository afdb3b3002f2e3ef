#include "gateway/prompt_placement.h"

#include "gateway/engine_forecast.h"
#include "gateway/engine_timing.h"
#include "gateway/internal/coordinated_placement.h"
#include "gateway/internal/engine_fit.h"
#include "gateway/internal/stream_consolidation.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds maxSplitPrefill{ 750'000 }; ///< Never exceeded by a split prompt that would disturb other requests.
constexpr std::int64_t tokensPerDisturbedStream = 10'000; ///< Prompt length per disturbed stream: twice a usual latency-sensitive one.
constexpr int onTimeReserve = 3; ///< Left free by late requests for those that can be on time.
constexpr int maxQueuedStreams = 4; ///< Interrupted streams that may wait in an engine's own queue.
constexpr milliseconds noServerRetryAfter{ 500 }; ///< A replaced server is listed within about a heartbeat.
constexpr milliseconds noRoomRetryAfter{ 500 }; ///< About the time in which one of many streams ends.

// Latency-sensitive streams are consolidated on few engines, so that the others can prefill long prompts in long batch steps.
const placement_candidate *consolidationEngine(
    const candidates_view &ordered, std::int64_t tokens, microseconds part, const engine_profile &engine)
{
    const placement_candidate *best = nullptr;
    for (const placement_candidate *each : ordered) {
        const bool hasRoom = canAnswer(*each, tokens, engine, static_cast<int>(each->slots * consolidationFreeShare));
        // Another cell consolidates its own streams; with these on the same engine it would be overrun before its summary shows it.
        const bool mayConsolidate = !each->isSuspected && !each->isOfOtherCell;
        const bool isFastEnough = mayConsolidate && stepTimeWith(*each, part, engine) <= consolidationStepLimit;
        if (hasRoom && isFastEnough && (!best || each->load.latencySensitiveRequests > best->load.latencySensitiveRequests)) {
            best = each;
        }
    }
    return best;
}

const placement_candidate *firstAbleToAnswer(const candidates_view &ordered, std::int64_t tokens, const engine_profile &engine, int reserve)
{
    const auto found = std::find_if(ordered.begin(), ordered.end(), [&](const placement_candidate *each) {
        return canAnswer(*each, tokens, engine, reserve);
    });
    return found == ordered.end() ? nullptr : *found;
}

// The answering engine holds the KV cache of the whole prompt, the helpers only prefill.
candidates_view withHelpers(const placement_candidate *answering,
    const candidates_view &helpers,
    size_t parts,
    microseconds part,
    const engine_profile &engine,
    const placement_request &request,
    time_point now)
{
    candidates_view chosen{ answering };
    for (const placement_candidate *each : helpers) {
        if (chosen.size() == parts) {
            break;
        }
        if (each != answering && canHelp(*each, part, engine, request, now) && !wouldDisturb(*each, part, engine, request)) {
            chosen.push_back(each);
        }
    }
    return chosen;
}

placement_decision refuse(std::string_view reason, milliseconds retryAfter)
{
    placement_decision decision;
    decision.next = placement_decision::action::refuse;
    decision.reason = reason;
    decision.retryAfter = retryAfter;
    return decision;
}

/// One placement attempt, with the values that all compared options share.
class placement_planner
{
public:
    placement_planner(const placement_request &request, const engine_profile &engine, time_point now)
        : m_request(request)
        , m_engine(engine)
        , m_now(now)
        , m_tokens(request.promptTokens + request.answerTokens)
        , m_wholePrefill(prefillTime(engine, request.promptTokens))
        , m_parts(bestPartCount(engine, request.promptTokens))
    {
    }

    /// Assigns the parts to engines in the given order; nullopt when none of them can answer.
    std::optional<placement_decision> decide(const candidates_view &ordered, bool isLatencySensitive) const
    {
        const microseconds partTime = m_wholePrefill / static_cast<std::int64_t>(m_parts);
        const placement_candidate *answering = isLatencySensitive ? consolidationEngine(ordered, m_tokens, partTime, m_engine) : nullptr;
        if (isLatencySensitive && m_request.isCoordinated) {
            answering = consolidatedEngine(ordered, m_tokens, partTime, m_engine, m_request, m_now);
        }
        answering = answering ? answering : nearestAbleToAnswer(ordered, partTime);
        if (!answering) {
            return std::nullopt;
        }
        return decisionFor(withHelpers(answering, ordered, m_parts, partTime, m_engine, m_request, m_now));
    }

    bool isOnTime(const placement_decision &decision) const
    {
        return m_now + decision.predictedFirstEvent + marginOf(decision) < m_request.firstEventDueAt;
    }

    bool exceedsOneEngine() const
    {
        return m_tokens > m_engine.memoryTokens;
    }

    /// Distributes the KV cache of the prompt evenly over as many engines as it needs, the answering one included;
    /// nullopt while too few engines have the memory.
    std::optional<placement_decision> decideWithReservations(const candidates_view &ordered) const
    {
        const microseconds partTime = m_wholePrefill / static_cast<std::int64_t>(m_parts);
        const auto [holders, share] = splitMemory(m_tokens, m_engine);
        candidates_view chosen;
        for (const placement_candidate *each : ordered) {
            if (chosen.size() < holders && !each->isSuspected && canAnswer(*each, share, m_engine, slotReserve())) {
                chosen.push_back(each);
            }
        }
        if (chosen.size() < holders) {
            return std::nullopt;
        }
        for (const placement_candidate *each : ordered) {
            const bool isChosen = std::find(chosen.begin(), chosen.end(), each) != chosen.end();
            if (chosen.size() < m_parts && !isChosen && canHelp(*each, partTime, m_engine, m_request, m_now)) {
                chosen.push_back(each);
            }
        }
        placement_decision decision = decisionFor(chosen);
        for (size_t index = 0; index < decision.parts.size(); ++index) {
            decision.parts[index].memoryTokens = index < holders ? share : 0;
            decision.parts[index].contextTokens = index < holders ? share : 0;
        }
        return decision;
    }

    /// Decision for a request that no engine can answer now.
    placement_decision decideWithoutCapacity() const
    {
        placement_decision decision;
        decision.reason = "no_memory_or_slot";
        // Others wait for the next slot near by: in overload there is none elsewhere either, and asking costs each instance time.
        decision.isWithoutCapacity = exceedsOneEngine();
        decision.predictedFirstEvent = m_wholePrefill / static_cast<std::int64_t>(m_parts);
        return isOnTime(decision) || mayKeepWaiting() ? decision : refuse(decision.reason, noRoomRetryAfter);
    }

private:
    const placement_candidate *nearestAbleToAnswer(const candidates_view &ordered, microseconds part) const
    {
        const placement_candidate *first = firstAbleToAnswer(ordered, m_tokens, m_engine, slotReserve());
        if (!first || first->isInOwnDataCentre) {
            return first;
        }
        const placement_candidate *own = firstAbleToAnswer(inOwnDataCentre(ordered), m_tokens, m_engine, slotReserve());
        return localUnlessLater(own, first, part, m_engine, m_request, m_now);
    }

    // Only decisions for engines have a forecast.
    milliseconds marginOf(const placement_decision &decision) const
    {
        return m_request.isCoordinated && decision.forecast.firstEvent.count() > 0 ? forecastMargin : sendMargin;
    }

    int slotReserve() const
    {
        return slotsToLeaveFree(m_request, m_engine, m_now);
    }

    // A late request must not displace requests that are on time, but it is refused well before its caller's time-out.
    bool mayKeepWaiting() const
    {
        if (m_request.isInterrupted) {
            return m_now + m_wholePrefill / static_cast<std::int64_t>(m_parts) + sendMargin < m_request.callerTimeoutAt;
        }
        return m_now < m_request.arrivedAt + (m_request.callerTimeoutAt - m_request.arrivedAt) / 2;
    }

    placement_decision decisionFor(const candidates_view &chosen) const
    {
        const microseconds part = m_wholePrefill / static_cast<std::int64_t>(chosen.size());
        placement_decision decision;
        microseconds slowest{ 0 };
        unsigned disturbedStreams = 0;
        bool disturbs = false;
        for (const placement_candidate *each : chosen) {
            slowest = std::max(slowest, pendingAt(*each) + slowedBy(part, each->slowness));
            const engine_forecast forecast = forecastAt(*each, part, m_engine);
            if (forecast.firstEvent > decision.forecast.firstEvent) {
                decision.forecast = forecast;
            }
            const bool isDisturbed = wouldDisturb(*each, part, m_engine, m_request);
            disturbs = disturbs || isDisturbed;
            disturbedStreams += isDisturbed ? each->load.latencySensitiveRequests : 0;
        }
        const microseconds step = slowedBy(batchStepTime(m_engine, chosen.front()->load), chosen.front()->slowness);
        decision.predictedFirstEvent = m_request.isCoordinated ? decision.forecast.firstEvent : slowest + step + roundTrip;
        decision.reason = disturbs ? "passes_full" : "fits";
        if (disturbs && isOnTime(decision)) {
            return decision;
        }
        const bool isSmall = m_parts == 1;
        const bool costsTooMuch = slowest > maxSplitPrefill || disturbedStreams * tokensPerDisturbedStream > m_tokens;
        if (disturbs && !isSmall && costsTooMuch) {
            return mayKeepWaiting() ? decision : refuse(decision.reason, std::chrono::duration_cast<milliseconds>(slowest));
        }
        if (m_now + decision.predictedFirstEvent > std::min(m_request.deadline, m_request.callerTimeoutAt)) {
            return refuse("deadline", std::chrono::duration_cast<milliseconds>(slowest));
        }
        decision.next = placement_decision::action::send;
        decision.isOnTime = isOnTime(decision);
        decision.isServerUnfit = chosen.front()->isSuspected;
        for (const placement_candidate *each : chosen) {
            const bool answers = decision.parts.empty();
            const std::int64_t context = answers ? m_tokens / static_cast<std::int64_t>(chosen.size()) : 0;
            decision.parts.push_back({ each->key, part, context, answers ? m_tokens : 0 });
        }
        return decision;
    }

    const placement_request &m_request;
    const engine_profile &m_engine;
    time_point m_now;
    std::int64_t m_tokens;
    microseconds m_wholePrefill; ///< Prefill time of the prompt on one engine.
    size_t m_parts;
};

} // namespace

int slotsToLeaveFree(const placement_request &request, const engine_profile &engine, time_point now)
{
    const bool isLong = request.eventGapTarget > maxLatencySensitiveGap;
    if (request.isInterrupted) {
        return -maxQueuedStreams;
    }
    if (request.isCoordinated && isLong) {
        return 0;
    }
    const auto parts = static_cast<std::int64_t>(bestPartCount(engine, request.promptTokens));
    return now + prefillTime(engine, request.promptTokens) / parts + sendMargin < request.firstEventDueAt ? 0 : onTimeReserve;
}

placement_decision placePrompt(
    const placement_request &request, const engine_profile &engine, const std::vector<placement_candidate> &candidates, time_point now)
{
    if (candidates.empty()) {
        return refuse("no_server", noServerRetryAfter);
    }
    const placement_planner planner(request, engine, now);
    const candidates_view all = orderedByPending(candidates);
    const bool isLatencySensitive = request.eventGapTarget <= maxLatencySensitiveGap;
    if (request.isCoordinated && !isLatencySensitive && !request.isInterrupted) {
        const auto placed = placeCoordinated(request, engine, all, now);
        return placed ? *placed : planner.decideWithoutCapacity();
    }
    if (planner.exceedsOneEngine()) {
        // Its parts need batch steps of a second and more, which exceed the target of every latency-sensitive stream.
        const auto separate = planner.decideWithReservations(withoutLatencySensitive(all));
        return separate ? *separate : planner.decideWithoutCapacity();
    }
    if (!isLatencySensitive) {
        const auto separate = planner.decide(withoutLatencySensitive(all), false);
        if (separate && planner.isOnTime(*separate)) {
            return *separate;
        }
    }
    const auto decision = planner.decide(all, isLatencySensitive);
    return decision ? *decision : planner.decideWithoutCapacity();
}

} // namespace mustardtrail::gateway
