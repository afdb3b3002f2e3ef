#include "gateway/internal/coordinated_placement.h"

#include "gateway/engine_forecast.h"
#include "gateway/engine_timing.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::microseconds;

// While there is time, or once it is late, a prompt waits for more engines rather than keep a few from all other work for seconds.
constexpr microseconds shortPart{ 400'000 };
constexpr std::int64_t longPartFactor = 2; ///< Times the part that the prompt has on as many engines as it may use.
constexpr microseconds waitingSlack{
    1'000'000
}; ///< With less time left until the first event is due, any engines that are on time will do.

class coordinated_planner
{
public:
    coordinated_planner(const placement_request &request, const engine_profile &engine, size_t engines, time_point now)
        : m_request(request)
        , m_engine(engine)
        , m_now(now)
        , m_tokens(request.promptTokens + request.answerTokens)
        , m_wholePrefill(prefillTime(engine, request.promptTokens))
        , m_parts(std::clamp<size_t>(engines, 1, bestPartCount(engine, request.promptTokens)))
    {
        const memory_split memory = splitMemory(m_tokens, engine);
        m_holders = memory.holders;
        m_share = memory.share;
        m_parts = std::max(m_parts, m_holders);
    }

    /// The engines with the earliest first event; nullopt if none of them can take the prompt without holding up others.
    std::optional<placement_decision> bestOf(const candidates_view &ordered) const
    {
        std::optional<placement_decision> best;
        for (size_t parts = m_parts; parts >= m_holders; --parts) {
            const auto chosen = choose(ordered, parts);
            if (chosen.empty()) {
                continue;
            }
            placement_decision decision = withLocalAnswer(ordered, chosen);
            if (!best || decision.predictedFirstEvent < best->predictedFirstEvent) {
                best = std::move(decision);
            }
            if (best->isOnTime) {
                break;
            }
        }
        return best;
    }

    /// Whether the prompt can still be on time if it waits for enough engines.
    bool canBeOnTime() const
    {
        return m_now + m_wholePrefill / static_cast<std::int64_t>(m_parts) + roundTrip + sendMargin < m_request.firstEventDueAt;
    }

    /// Whether to wait for more engines although these could take the prompt.
    bool shouldWaitForMore(const placement_decision &decision) const
    {
        const microseconds ideal = m_wholePrefill / static_cast<std::int64_t>(m_parts);
        const bool hasTime = m_now + ideal + sendMargin + waitingSlack < m_request.firstEventDueAt;
        return (hasTime || !decision.isOnTime) && decision.parts.front().prefillTime > std::max(shortPart, ideal * longPartFactor);
    }

    bool exceedsOneEngine() const
    {
        return m_holders > 1;
    }

private:
    bool isOnTime(microseconds firstEvent) const
    {
        return m_now + firstEvent + forecastMargin < m_request.firstEventDueAt;
    }

    // Holders first: they answer or reserve memory, the others only prefill.
    candidates_view choose(const candidates_view &ordered, size_t parts) const
    {
        const microseconds part = m_wholePrefill / static_cast<std::int64_t>(parts);
        candidates_view holders;
        candidates_view helpers;
        for (const placement_candidate *each : ordered) {
            if (!canHelp(*each, part, m_engine, m_request, m_now) || wouldDisturb(*each, part, m_engine, m_request)) {
                continue;
            }
            const bool isHolder = holders.size() < m_holders && canAnswer(*each, m_share, m_engine, 0);
            (isHolder ? holders : helpers).push_back(each);
        }
        if (holders.size() < m_holders || holders.size() + helpers.size() < parts) {
            return {};
        }
        holders.insert(holders.end(), helpers.begin(), helpers.begin() + static_cast<std::ptrdiff_t>(parts - m_holders));
        return holders;
    }

    // The answer of a stream crosses no link between data centres if that delays the first event by less than the preference.
    placement_decision withLocalAnswer(const candidates_view &ordered, const candidates_view &chosen) const
    {
        placement_decision decision = decisionFor(chosen);
        if (chosen.front()->isInOwnDataCentre) {
            return decision;
        }
        const microseconds part = m_wholePrefill / static_cast<std::int64_t>(chosen.size());
        const auto own = std::find_if(ordered.begin(), ordered.end(), [&](const placement_candidate *each) {
            return each->isInOwnDataCentre && canHelp(*each, part, m_engine, m_request, m_now)
                && !wouldDisturb(*each, part, m_engine, m_request) && canAnswer(*each, m_share, m_engine, 0);
        });
        if (own == ordered.end()) {
            return decision;
        }
        candidates_view local = chosen;
        std::erase(local, *own);
        local.insert(local.begin(), *own);
        local.resize(chosen.size());
        placement_decision localDecision = decisionFor(local);
        const bool isLate = decision.isOnTime && !localDecision.isOnTime;
        const bool isLater = localDecision.predictedFirstEvent >= decision.predictedFirstEvent + localPreference;
        return isLate || isLater ? decision : localDecision;
    }

    placement_decision decisionFor(const candidates_view &chosen) const
    {
        const microseconds part = m_wholePrefill / static_cast<std::int64_t>(chosen.size());
        placement_decision decision;
        for (const placement_candidate *each : chosen) {
            const engine_forecast forecast = forecastAt(*each, part, m_engine);
            if (forecast.firstEvent > decision.forecast.firstEvent) {
                decision.forecast = forecast;
            }
            const bool isHolder = decision.parts.size() < m_holders;
            const bool answersAlone = m_holders == 1 && decision.parts.empty();
            const std::int64_t context = answersAlone ? m_tokens / static_cast<std::int64_t>(chosen.size()) : isHolder ? m_share : 0;
            decision.parts.push_back({ each->key, part, context, isHolder ? m_share : 0 });
        }
        decision.next = placement_decision::action::send;
        decision.reason = "fits";
        decision.predictedFirstEvent = decision.forecast.firstEvent;
        decision.isOnTime = isOnTime(decision.predictedFirstEvent);
        return decision;
    }

    const placement_request &m_request;
    const engine_profile &m_engine;
    time_point m_now;
    std::int64_t m_tokens;
    microseconds m_wholePrefill; ///< Prefill time of the prompt on one engine.
    size_t m_parts; ///< Most engines that prefill it; not more than there are, or it would wait for ever for those of a larger service.
    size_t m_holders = 1; ///< Engines that hold its KV cache, the answering one included.
    std::int64_t m_share = 0; ///< KV cache at each of them.
};

} // namespace

std::optional<placement_decision> placeCoordinated(
    const placement_request &request, const engine_profile &engine, const candidates_view &ordered, time_point now)
{
    const auto engines = std::count_if(ordered.begin(), ordered.end(), [](const placement_candidate *each) {
        return !each->isSuspected;
    });
    const coordinated_planner planner(request, engine, static_cast<size_t>(engines), now);
    auto best = planner.bestOf(withoutLatencySensitive(ordered));
    // Passes of a prompt beyond one engine exceed the target of every latency-sensitive stream.
    if ((!best || !best->isOnTime) && !planner.exceedsOneEngine()) {
        auto beside = planner.bestOf(ordered);
        const bool isBetter = beside && (!best || beside->predictedFirstEvent < best->predictedFirstEvent);
        if (isBetter) {
            best = std::move(beside);
        }
    }
    if (!best || (!best->isOnTime && planner.canBeOnTime())) {
        return std::nullopt;
    }
    if (planner.shouldWaitForMore(*best)) {
        return std::nullopt;
    }
    return best;
}

} // namespace mustardtrail::gateway
