#include "programs/gateway/request_session.h"

#include <algorithm>

namespace mustardtrail::gateway
{

bool request_session::isAnswerEstablished(time_point now) const
{
    return m_firstEventOfSendAt && now - *m_firstEventOfSendAt >= answerEstablishedAfter;
}

bool request_session::isConnectionLost(const attempt_failure &failure) const
{
    return failure.isCutOff && m_closedBecause.empty();
}

void request_session::recordServerEnd(const attempt_failure &failure, time_point now)
{
    if (!isConnectionLost(failure)) {
        return;
    }
    m_context.state.quarantine.recordLostConnection(m_currentStart, m_sentAt, now);
    if (isAnswerEstablished(now) || m_parts.empty()) {
        return;
    }
    recordCrash(m_currentServer, m_currentStart, m_lastServer, m_sentAt, now);
}

void request_session::recordCrash(server_key server, server_start_key start, const std::string &serverId, time_point sentAt, time_point now)
{
    m_context.state.quarantine.recordCrash(start, m_parts, sentAt, now);
    const part_suspicion suspicion = m_context.state.quarantine.suspicionOf(m_parts.back(), now);
    m_context.log.write(log_line("crash_recorded")
                            .add("request", m_head.attempt.str())
                            .add("server", serverId)
                            .add("part", std::to_string(m_parts.back()))
                            .add("inARow", suspicion.crashesInARow)
                            .add("ambiguous", suspicion.hasOtherExplanation ? "yes" : "no")
                            .add("quarantined", suspicion.isQuarantined ? "yes" : "no")
                            .add("sent", std::chrono::duration_cast<std::chrono::milliseconds>(now - sentAt)));
    m_context.scheduleReport();
    if (m_context.verifyCrash) {
        m_context.verifyCrash(server, start, m_head.attempt);
    }
}

// What has not begun to be answered would end its server; an answer that is being written shows that it does not.
void request_session::onQuarantined(prompt_part part)
{
    const bool isConcerned = std::find(m_parts.begin(), m_parts.end(), part) != m_parts.end();
    if (!isConcerned || m_isTrial || isAnswerEstablished(m_context.clock.now())) {
        return;
    }
    if (m_closeConnection) {
        m_closedBecause = "quarantined";
        m_closeConnection();
    }
    dropHedges("quarantined");
    m_hedgeTimer.cancel();
}

std::optional<placement_decision> request_session::quarantineDecision(time_point now) const
{
    const auto until = m_context.state.quarantinedUntil(m_parts, now);
    if (!until) {
        return std::nullopt;
    }
    placement_decision decision;
    decision.next = placement_decision::action::refuse;
    decision.reason = "prompt_part_quarantined";
    decision.retryAfter = std::max(std::chrono::duration_cast<std::chrono::milliseconds>(*until - now), std::chrono::milliseconds(0));
    return decision;
}

} // namespace mustardtrail::gateway
