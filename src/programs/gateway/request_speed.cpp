#include "programs/gateway/request_session.h"

namespace mustardtrail::gateway
{

void request_session::recordSpeedOfSend(const placement_decision &placed, time_point now)
{
    if (placed.parts.size() == 1 && m_route->isStream) {
        m_forecast = placed.forecast;
        m_context.state.speeds.recordSend(m_currentStart, m_workId, m_forecast.published, now);
    }
}

void request_session::recordFirstEventOfSend(time_point now)
{
    if (m_firstEventOfSendAt) {
        return;
    }
    // A hedged send has no forecast here.
    const auto ratio = m_context.state.recordFirstEvent(m_currentServer, m_currentStart, m_workId, m_forecast, now);
    if (m_policy.isCoordinated && m_context.readPace && m_context.state.speeds.isUnconfirmed(m_currentStart, now)) {
        m_context.readPace(m_currentServer, m_head.attempt);
    }
    if (ratio && m_forecast.firstEvent.count() > 0) {
        const std::chrono::duration<double> actual = now - m_sentAt;
        m_context.metrics.recordForecast(m_route->name, actual / std::chrono::duration<double>(m_forecast.firstEvent));
    }
}

} // namespace mustardtrail::gateway
