#include "programs/gateway/request_session.h"

#include <limits>

namespace mustardtrail::gateway
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

void request_session::beginWaiting(const placement_decision &decision, time_point now)
{
    // Without a number no placement has been tried: the queue's round passed the request over, and the next one tries it.
    const bool hasNumber = m_placement.placeInOrder().request != 0;
    if (!takesPartInOrder(subject()) || !hasNumber || m_waitsSince) {
        return;
    }
    m_waitsSince = now;
    m_context.state.waiting.add(m_placement.placeInOrder());
    m_context.metrics.setWaitingPrompts(m_context.state.waiting.ownCount());
    m_context.scheduleReport();
    log_line line("prompt_waits");
    line.add("request", m_head.attempt.str()).add("why", decision.reason);
    addOrderInputs(line, now);
    m_context.log.write(line);
}

void request_session::endWaiting(std::string_view outcome)
{
    if (!m_waitsSince) {
        return;
    }
    m_context.metrics.recordRoomWait(std::string(outcome), m_context.clock.now() - *m_waitsSince);
    m_waitsSince.reset();
    m_context.state.waiting.remove(m_placement.placeInOrder().request);
    m_context.metrics.setWaitingPrompts(m_context.state.waiting.ownCount());
    m_context.scheduleReport();
}

void request_session::logRoomRefusal(const refusal &answer)
{
    if (answer.reason != request_placement::noRoomReason) {
        return;
    }
    const time_point now = m_context.clock.now();
    log_line line("prompt_refused_early");
    line.add("request", m_head.attempt.str()).add("retryAfter", answer.retryAfter.value_or(milliseconds(0)));
    addOrderInputs(line, now);
    m_context.log.write(line);
}

void request_session::addOrderInputs(log_line &line, time_point now) const
{
    const waiting_prompts &waiting = m_context.state.waiting;
    const waiting_prompt &place = m_placement.placeInOrder();
    line.add("tokens", place.promptTokens)
        .add("urgency", static_cast<std::int64_t>(place.urgency))
        .add("ahead", static_cast<std::int64_t>(waiting.ahead(place, std::numeric_limits<size_t>::max(), now).size()))
        .add("dueIn", duration_cast<milliseconds>(place.firstEventDueAt - now))
        .add("callerLeavesIn", duration_cast<milliseconds>(place.callerLeavesAt - now))
        .add("knownAgo", waiting.silence(now).value_or(milliseconds(-1)));
    if (const auto &forecast = m_placement.roomForecast()) {
        line.add("capacityIn", duration_cast<milliseconds>(forecast->capacityIn))
            .add("firstEventIn", duration_cast<milliseconds>(forecast->firstEventIn))
            .add("engines", static_cast<std::int64_t>(forecast->engines))
            .add("works", static_cast<std::int64_t>(forecast->works));
    }
    line.add("age", age(now));
}

} // namespace mustardtrail::gateway
