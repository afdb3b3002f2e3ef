#include "programs/gateway/request_session.h"

namespace mustardtrail::gateway
{

using std::chrono::milliseconds;

namespace
{

constexpr milliseconds minTimeForSend{ 20 }; ///< With less time left no server can finish the request.

} // namespace

retry_state request_session::retryState(time_point now)
{
    retry_state state;
    state.retrySemantics = m_route->retrySemantics;
    state.mayHaveRun = m_mayHaveRun;
    state.possibleRuns = static_cast<unsigned>(m_possibleRuns.size());
    state.maxServers = m_route->maxServers;
    state.hasTime = now + minTimeForSend < m_deadlineAt && !m_context.isEnding;
    state.mayBeSent = m_failedSends.reachedLimit().empty();
    state.hasOtherServer = !m_context.state.candidates(m_service, m_excluded, server_scope::fleet, now).empty();
    state.hasBudget = true;
    return state;
}

unsigned request_session::possibleRunsWithSends() const
{
    const size_t current = m_possibleRuns.contains(backend_server_id(m_lastServer)) ? 0 : 1;
    return static_cast<unsigned>(m_possibleRuns.size() + current + m_hedges.size());
}

void request_session::countRun(const attempt_failure &failure)
{
    m_mayHaveRun = m_mayHaveRun || failure.outcome != verdict::not_run;
    if (failure.outcome != verdict::not_run) {
        m_possibleRuns.insert(backend_server_id(m_lastServer));
    }
    m_failedSends.record(failure);
    if (isConnectionLost(failure)) {
        m_attempt->recordLoss();
    }
}

next_step request_session::stepAfter(const attempt_failure &failure)
{
    const time_point now = m_context.clock.now();
    countRun(failure);
    const bool isRelayLost = failure.isByRelay && failure.outcome != verdict::not_run;
    if (isRelayLost) {
        m_resendTo = backend_server_id(m_lastServer);
        m_excluded.erase(*m_resendTo); // It may have been silent for a while.
    }
    retry_state state = retryState(now);
    if (isRelayLost) {
        --state.possibleRuns; // The next send goes to the same server.
    }
    const next_step stepIfWithinBudget = decideRetry(failure, state);
    if (stepIfWithinBudget != next_step::send_again) {
        const std::string_view limit = limitOfSends(now);
        logResendDenied(!state.hasOtherServer ? "no_server" : !limit.empty() ? limit : "not_allowed");
        return stepIfWithinBudget;
    }
    if (!needsResendBudget(failure, m_deliveredSends)) {
        return stepIfWithinBudget;
    }
    const auto cause = failure.outcome == verdict::not_run ? resend_budget::cause::refused : resend_budget::cause::interrupted;
    state.hasBudget = m_context.state.resends.tryTake(m_service, cause, now, m_context.state.peers.largestFleetSize());
    const next_step step = decideRetry(failure, state);
    if (step != next_step::send_again) {
        logResendDenied("budget");
    }
    return step;
}

std::string_view request_session::limitOfSends(time_point now) const
{
    if (m_context.isEnding) {
        return instanceEnds;
    }
    return now + minTimeForSend < m_deadlineAt ? m_failedSends.reachedLimit() : "no_time";
}

void request_session::logResendDenied(std::string_view why)
{
    m_context.log.write(log_line("resend_denied")
                            .add("request", m_head.attempt.str())
                            .add("service", m_service.str())
                            .add("why", why)
                            .add("runs", static_cast<std::int64_t>(m_possibleRuns.size()))
                            .add("most", m_route->maxServers)
                            .add("lastEvent", static_cast<std::int64_t>(m_position.lastId().value_or(-1))));
}

// The server whose answer was lost on the way is still at work, so another one would be one server more.
placement_decision request_session::placeAfterRelayLoss(time_point now)
{
    const auto excluded = m_excluded;
    for (const placement_candidate &each : m_context.state.candidates(m_service, excluded, server_scope::fleet, now)) {
        const auto *server = m_context.state.findServer(each.key);
        if (server && server->entry.id != *m_resendTo) {
            m_excluded.insert(server->entry.id);
        }
    }
    const placement_decision decision = choosePlacement(now);
    m_excluded = excluded;
    if (decision.next == placement_decision::action::send || m_possibleRuns.size() >= m_route->maxServers) {
        return decision;
    }
    m_resendTo.reset();
    return choosePlacement(now);
}

void request_session::recordFailure(const placement_decision &placed, const attempt_failure &failure)
{
    const time_point now = m_context.clock.now();
    const auto *primary = m_context.state.findServer(placed.parts.front().server);
    recordServerEnd(failure, now);
    m_context.log.write(log_line("send_failed")
                            .add("request", m_head.attempt.str())
                            .add("server", m_lastServer)
                            .add("verdict", toString(failure.outcome))
                            .add("why", m_closedBecause.empty() ? "server" : m_closedBecause)
                            .add("error", failure.detail)
                            .add("faulty", m_faultyServer)
                            .add("shared", sharedPartsText())
                            .add("own", m_head.ownPart)
                            .add("part", std::to_string(m_parts.back()))
                            .add("answering", m_firstEventOfSendAt ? age(now) - age(*m_firstEventOfSendAt) : std::chrono::milliseconds(-1))
                            .add("age", age(now)));
    bool helperFailed = false;
    for (const placed_part &part : placed.parts) {
        const auto *server = m_context.state.findServer(part.server);
        const bool isNamed = server && (server->entry.id.str() == m_faultyServer || toString(server->entry.address) == m_faultyServer);
        if (isNamed) {
            m_context.state.recordFailure(part.server, startKeyOf(server->entry), true, now);
            helperFailed = part.server != placed.parts.front().server;
        }
    }
    const bool isRelayLost = failure.isByRelay && failure.outcome != verdict::not_run;
    if (failure.isUnreserved || helperFailed || !primary || isRelayLost) {
        return;
    }
    // Servers that refused become eligible again once another server has run part of the request and failed.
    if (failure.outcome != verdict::not_run) {
        m_excluded = m_failed;
        m_failed.insert(primary->entry.id);
    }
    m_excluded.insert(primary->entry.id);
    const bool hasNoAnswer = failure.outcome != verdict::not_run && !failure.hasAnswer;
    const bool isResponding = m_context.state.serverSuspicion.isResponding(m_currentServer, now);
    const bool isOvertaken = m_closedBecause == copyAnswered; // Slow, which is no sign of a failure.
    if (!failure.isByRelay && (failure.isUnreachable || (hasNoAnswer && !isResponding && !isOvertaken))) {
        m_context.state.recordFailure(placed.parts.front().server, m_currentStart, failure.isUnreachable, now);
    }
}

} // namespace mustardtrail::gateway
