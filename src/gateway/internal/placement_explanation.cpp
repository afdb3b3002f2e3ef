#include "gateway/placement_explanation.h"

#include "gateway/engine_timing.h"
#include "gateway/internal/engine_fit.h"
#include "gateway/placement_behind.h"
#include "gateway/prompt_placement.h"
#include "gateway/server_choice.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::microseconds;
using action = placement_decision::action;

constexpr std::uint64_t explanationSeed = 1; ///< Any value; it makes the answers to two queries the same.

bool isPartOf(const placement_decision &decision, server_key server)
{
    return decision.next == action::send && std::any_of(decision.parts.begin(), decision.parts.end(), [server](const placed_part &part) {
        return part.server == server;
    });
}

const placement_candidate *findCandidate(const std::vector<placement_candidate> &candidates, server_key server)
{
    const auto found = std::find_if(candidates.begin(), candidates.end(), [server](const placement_candidate &each) {
        return each.key == server;
    });
    return found == candidates.end() ? nullptr : &*found;
}

// What keeps a server from every request; empty if nothing does.
std::string_view generalObstacle(const placement_candidate &each)
{
    return each.isSuspected ? "suspected" : each.isAtColdLimit ? "cold_limit" : each.isAtRateLimit ? "rate_limit" : "";
}

template<typename value> std::string_view comparedTo(const value &own, const value &chosen)
{
    return own > chosen ? "later" : own < chosen ? "not_preferred" : "equal";
}

std::string_view plainReason(const placement_candidate &each, const placement_candidate *chosen)
{
    const std::string_view obstacle = generalObstacle(each);
    if (!obstacle.empty()) {
        return obstacle;
    }
    if (!hasFreeSlot(each)) {
        return "no_slot";
    }
    return chosen ? comparedTo(each.load.requests, chosen->load.requests) : "not_preferred";
}

/// Applies the conditions of a placement on engines to one of them.
class engine_explainer
{
public:
    engine_explainer(const placement_inputs &inputs, const placement_decision &decision, time_point now)
        : m_inputs(inputs)
        , m_decision(decision)
        , m_engine(*inputs.engine)
        , m_now(now)
        , m_memory(splitMemory(inputs.work.promptTokens + inputs.work.answerTokens, m_engine))
        , m_reserve(slotsToLeaveFree(inputs.work, m_engine, now))
    {
        const size_t parts = std::max(bestPartCount(m_engine, inputs.work.promptTokens), m_memory.holders);
        m_isSplit = parts > 1;
        m_part = isSent() ? decision.parts.front().prefillTime
                          : prefillTime(m_engine, inputs.work.promptTokens) / static_cast<std::int64_t>(parts);
        m_left = inputs.ahead.empty() ? inputs.candidates : leftBehind(inputs.ahead, inputs.work, m_engine, inputs.candidates, now);
    }

    candidate_explanation explain(const placement_candidate &each) const
    {
        const placement_candidate &left = *findCandidate(m_left, each.key);
        candidate_explanation explained;
        explained.candidate = each;
        explained.isChosen = isPartOf(m_decision, each.key);
        explained.firstEvent = forecastAt(left, m_part, m_engine).firstEvent;
        explained.pendingPrefill = pendingAt(each);
        if (!explained.isChosen) {
            explained.reason = reasonFor(each, left, *explained.firstEvent);
        }
        return explained;
    }

private:
    bool isSent() const
    {
        return m_decision.next == action::send;
    }

    std::string_view reasonFor(const placement_candidate &each, const placement_candidate &left, microseconds firstEvent) const
    {
        if (const std::string_view obstacle = obstacleAt(each); !obstacle.empty()) {
            return obstacle;
        }
        if (left.isKeptForOther || !obstacleAt(left).empty()) {
            return "behind_others";
        }
        if (!isSent()) {
            return "too_few";
        }
        const std::string_view order = comparedTo(firstEvent, m_decision.forecast.firstEvent);
        return order == "later" && left.slowness > 1.0 ? "slow" : order;
    }

    std::string_view obstacleAt(const placement_candidate &each) const
    {
        if (const std::string_view obstacle = generalObstacle(each); !obstacle.empty()) {
            return obstacle;
        }
        // One without a slot or memory can still prefill a part.
        const bool mayHelp = m_isSplit && isSent();
        if (!mayHelp && !canAnswer(each, 0, m_engine, m_reserve)) {
            return "no_slot";
        }
        if (!mayHelp && !canAnswer(each, m_memory.share, m_engine, m_reserve)) {
            return "no_memory";
        }
        if (!canHelp(each, m_part, m_engine, m_inputs.work, m_now)) {
            return "slow";
        }
        const bool isBesideStreams = m_memory.holders > 1 && withoutLatencySensitive({ &each }).empty();
        return isBesideStreams || wouldDisturb(each, m_part, m_engine, m_inputs.work) ? "event_gap" : "";
    }

    const placement_inputs &m_inputs;
    const placement_decision &m_decision;
    const engine_profile &m_engine;
    time_point m_now;
    memory_split m_memory;
    int m_reserve; ///< Slots that the request leaves free.
    bool m_isSplit = false;
    microseconds m_part{ 0 }; ///< Prefill time of one part.
    std::vector<placement_candidate> m_left; ///< Behind the prompts ahead.
};

} // namespace

std::vector<candidate_explanation> explainCandidates(const placement_inputs &inputs, const placement_decision &decision, time_point now)
{
    std::vector<candidate_explanation> explained;
    if (inputs.engine) {
        const engine_explainer explainer(inputs, decision, now);
        for (const placement_candidate &each : inputs.candidates) {
            explained.push_back(explainer.explain(each));
        }
        return explained;
    }
    const placement_candidate *chosen
        = decision.next == action::send ? findCandidate(inputs.candidates, decision.parts.front().server) : nullptr;
    for (const placement_candidate &each : inputs.candidates) {
        const bool isChosen = &each == chosen;
        explained.push_back({ each, isChosen, isChosen ? "" : plainReason(each, chosen), std::nullopt, each.load.pendingPrefill });
    }
    return explained;
}

placement_explanation explainPlacement(const fleet_state &state, const placement_subject &subject, time_point now)
{
    random_source random(explanationSeed);
    request_placement placement(state, random);
    placement_explanation explained;
    explained.decision = placement.choose(subject, now, &explained.inputs);
    explained.candidates = explainCandidates(explained.inputs, explained.decision, now);
    const placement_inputs &inputs = explained.inputs;
    explained.room = placement.roomForecast();
    // A placement makes the forecast only where it may refuse by it; here it is shown for each prompt that is not sent.
    if (!explained.room && inputs.engine && explained.decision.next != action::send) {
        const waiting_prompt place = inputs.place.value_or(placeOf(explanationSeed, subject, inputs.work, *inputs.engine));
        explained.room = forecastRoom(place, state.waiting, *inputs.engine, inputs.candidates, state.loads, now);
    }
    return explained;
}

} // namespace mustardtrail::gateway
