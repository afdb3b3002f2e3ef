#include "programs/gateway/request_session.h"

#include "gateway/finish_forecast.h"

namespace mustardtrail::gateway
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::optional<placement_decision> request_session::refuseUnlessItCanFinish(const placement_decision &placed, time_point now) const
{
    const bool isRefused = placed.next == placement_decision::action::refuse;
    if (!m_context.stopSchedule || isRefused || m_mayHaveRun || m_exchange.hasStarted()) {
        return std::nullopt;
    }
    finish_forecast forecast;
    if (placed.next == placement_decision::action::send) {
        forecast.firstEvent = placed.predictedFirstEvent;
    }
    if (m_route->isStream && !m_head.lastEvent) { // A resumed stream is shorter than others.
        forecast.length = leastLengthOf(m_route->name, m_context.streamLengths, now);
    }
    if (canFinish(forecast, *m_context.stopSchedule, now)) {
        return std::nullopt;
    }
    m_context.log.write(log_line("request_cannot_finish")
                            .add("request", m_head.attempt.str())
                            .add("firstEvent", duration_cast<milliseconds>(forecast.firstEvent))
                            .add("length", duration_cast<milliseconds>(forecast.length.value))
                            .add("samples", static_cast<std::int64_t>(forecast.length.samples))
                            .add("endsIn", duration_cast<milliseconds>(m_context.stopSchedule->endsAt() - now))
                            .add("age", age(now)));
    placement_decision refused;
    refused.next = placement_decision::action::refuse;
    refused.reason = instanceEnds;
    refused.retryAfter = milliseconds(0); // Other instances serve on.
    return refused;
}

void request_session::recordStreamLength()
{
    if (!m_firstEventAt || m_head.lastEvent) {
        return;
    }
    const time_point now = m_context.clock.now();
    const auto length = duration_cast<std::chrono::microseconds>(now - *m_firstEventAt);
    recordLength(m_route->name, length, m_context.streamLengths, now);
}

void request_session::onEnding()
{
    // No other answer can take the place of one that has begun; it may still end in time.
    if (!m_exchange.hasStarted()) {
        interrupt();
    }
}

// Its coroutine may wait for a caller that does not read, so the line and the release do not depend on it.
void request_session::onProcessEnd()
{
    if (m_hasOutcome) {
        return;
    }
    logOutcome(m_exchange.hasStarted() ? "stream_broken" : "request_cut", 0, instanceEnds);
    interrupt();
    if (m_reservations) {
        m_reservations->release();
    }
}

} // namespace mustardtrail::gateway
