#include "gateway/request_placement.h"

#include "gateway/engine_timing.h"
#include "gateway/placement_behind.h"
#include "gateway/placement_spill.h"
#include "gateway/prompt_placement.h"
#include "gateway/server_choice.h"
#include "gateway/stream_wait_limit.h"

#include <algorithm>

namespace mustardtrail::gateway
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds fleetTryInterval{ 120 }; ///< Two summaries of a cell that takes work of others; before it nothing new is known.
constexpr milliseconds quietSpread{ 300 }; ///< Over which callers return after servers asked for quiet, so that not all come at once.
constexpr milliseconds forecastInterval{ 250 }; ///< About one batch step of an engine; before that little changes.

} // namespace

waiting_prompt placeOf(std::uint64_t number, const placement_subject &subject, const placement_request &work, const engine_profile &engine)
{
    waiting_prompt place;
    place.request = number;
    place.service = keyOf(subject.service);
    place.promptTokens = work.promptTokens;
    place.memoryTokens = work.promptTokens + work.answerTokens;
    place.urgency = static_cast<unsigned>(urgencyOf(subject));
    place.arrivedAt = work.arrivedAt;
    place.firstEventDueAt = work.firstEventDueAt;
    place.callerLeavesAt = work.callerTimeoutAt;
    const auto parts = static_cast<std::int64_t>(bestPartCount(engine, work.promptTokens));
    place.shortestPrefill = duration_cast<milliseconds>(prefillTime(engine, work.promptTokens) / parts);
    return place;
}

request_placement::request_placement(const fleet_state &state, random_source &random)
    : m_state(state)
    , m_random(random)
{
}

const waiting_prompt &request_placement::placeInOrder() const
{
    return m_place;
}

const std::optional<room_forecast> &request_placement::roomForecast() const
{
    return m_roomForecast;
}

placement_decision request_placement::choose(const placement_subject &subject, time_point now, placement_inputs *seen)
{
    const placement_decision near = chooseIn(server_scope::own_cell, subject, now, seen);
    const bool isWaiting = near.next == placement_decision::action::wait;
    if (!wouldLeaveCell(near) || (isWaiting && now < m_nextFleetTryAt)) {
        return near;
    }
    m_nextFleetTryAt = now + fleetTryInterval;
    const bool isOneCell = m_state.peers.cells().cells().size() <= 1;
    const placement_decision decision = isOneCell ? near : chooseCell(near, chooseIn(server_scope::fleet, subject, now, seen));
    if (decision.next == placement_decision::action::refuse) {
        if (const auto atLimitUntil = m_state.atLimitUntil(subject.service, now)) {
            return whileQuiet("servers_at_limit", *atLimitUntil, subject, now);
        }
        if (const auto quietUntil = m_state.quietUntil(subject.service, now)) {
            return whileQuiet("servers_want_quiet", *quietUntil, subject, now);
        }
    }
    return decision;
}

// Nothing may be sent now. A stream that the caller has in part is lost if it is refused, so it waits.
placement_decision request_placement::whileQuiet(
    std::string_view reason, time_point quietUntil, const placement_subject &subject, time_point now)
{
    placement_decision decision;
    decision.reason = reason;
    if (!subject.lastEventAt || quietUntil >= subject.deadlineAt) {
        decision.next = placement_decision::action::refuse;
        decision.retryAfter = duration_cast<milliseconds>(quietUntil - now) + milliseconds(m_random.below(quietSpread.count()));
    }
    return decision;
}

placement_request request_placement::workOf(const placement_subject &subject)
{
    placement_request work;
    work.promptTokens = *subject.promptTokens;
    work.answerTokens = subject.answerTokens;
    work.eventGapTarget = subject.from.eventGapTarget;
    work.shortestEventGapTarget = subject.routes.shortestEventGapTarget(subject.service);
    // For an interrupted stream the caller's wait counts from the last event.
    work.arrivedAt = subject.lastEventAt.value_or(subject.arrivedAt);
    work.firstEventDueAt = work.arrivedAt + subject.from.latencyTarget;
    work.callerTimeoutAt = std::min(subject.deadlineAt, work.arrivedAt + streamWaitLimit(subject.from));
    work.isInterrupted = subject.lastEventAt.has_value();
    work.deadline = subject.deadlineAt;
    work.isCoordinated = subject.policy.isCoordinated;
    work.draw = subject.policy.isCoordinated ? m_random.below(~std::uint64_t{ 0 }) : 0;
    return work;
}

placement_decision request_placement::chooseIn(server_scope scope, const placement_subject &subject, time_point now, placement_inputs *seen)
{
    const auto candidates = m_state.candidates(subject.service, subject.excluded, scope, now);
    if (seen) {
        *seen = placement_inputs();
        seen->scope = scope;
        seen->candidates = candidates;
    }
    const engine_profile *engine = engineOf(subject);
    if (!engine) {
        return choosePlainServer(candidates);
    }
    const placement_request work = workOf(subject);
    if (seen) {
        seen->engine = *engine;
        seen->work = work;
    }
    return takesPartInOrder(subject) ? chooseInOrder(work, *engine, candidates, scope, subject, now, seen)
                                     : placePrompt(work, *engine, candidates, now);
}

placement_decision request_placement::choosePlainServer(const std::vector<placement_candidate> &candidates)
{
    placement_decision decision;
    const auto chosen = chooseServer(candidates, m_random.unit());
    if (!chosen) {
        decision.next = placement_decision::action::refuse;
        decision.reason = "no_server";
        decision.retryAfter = noServerRetryAfter;
        return decision;
    }
    decision.next = placement_decision::action::send;
    decision.isServerUnfit = std::none_of(candidates.begin(), candidates.end(), [&](const placement_candidate &each) {
        return each.key == *chosen && hasFreeSlot(each);
    });
    decision.isOnTime = !decision.isServerUnfit;
    decision.parts.push_back({ *chosen, std::chrono::microseconds(0), 0, 0 });
    return decision;
}

placement_decision request_placement::chooseInOrder(const placement_request &work,
    const engine_profile &engine,
    const std::vector<placement_candidate> &candidates,
    server_scope scope,
    const placement_subject &subject,
    time_point now,
    placement_inputs *seen)
{
    const std::uint64_t number = m_place.request == 0 ? 1 + m_random.below(~std::uint64_t{ 0 }) : m_place.request;
    m_place = placeOf(number, subject, work, engine);
    const auto ahead = m_state.waiting.ahead(m_place, maxPlacedAhead, now);
    if (seen) {
        seen->place = m_place;
        seen->ahead = ahead;
    }
    const placement_decision decision = placementBehind(ahead, m_place.request, work, engine, candidates, now);
    // Only the work at the own cell's servers is known piece by piece. While a send runs, the request has its place already.
    const bool mayForecast = scope == server_scope::own_cell && !subject.isPlaced;
    if (decision.next == placement_decision::action::wait && mayForecast) {
        return waitOrRefuse(decision, engine, candidates, subject, now);
    }
    return decision;
}

placement_decision request_placement::waitOrRefuse(const placement_decision &wait,
    const engine_profile &engine,
    const std::vector<placement_candidate> &candidates,
    const placement_subject &subject,
    time_point now)
{
    if (now < m_nextForecastAt || !m_state.waiting.isInformed(now)) {
        return wait;
    }
    m_nextForecastAt = now + forecastInterval;
    m_roomForecast = forecastRoom(m_place, m_state.waiting, engine, candidates, m_state.loads, now);
    if (!m_roomForecast || !isWaitInVain(*m_roomForecast, m_place, now)) {
        return wait;
    }
    placement_decision refused;
    refused.next = placement_decision::action::refuse;
    refused.reason = noRoomReason;
    refused.retryAfter = retryAfter(*m_roomForecast, duration_cast<milliseconds>(subject.deadlineAt - now), m_random.unit());
    return refused;
}

milliseconds retryWithin(milliseconds retryAfter, milliseconds timeLeft)
{
    return std::clamp(retryAfter, milliseconds(0), std::max(timeLeft / 3, milliseconds(0)));
}

} // namespace mustardtrail::gateway
