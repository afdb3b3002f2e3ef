#include "programs/gateway/request_session.h"

#include "gateway/route_table.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds minTimeForSend{ 20 }; ///< With less time left no server can finish the request.

/// A send that waits for a loan, as long as this object lives.
class waiting_for_loan
{
public:
    waiting_for_loan(second_send_loans &loans, service_key service)
        : m_loans(loans)
        , m_service(service)
    {
        m_loans.startWaiting(m_service);
    }
    ~waiting_for_loan()
    {
        m_loans.stopWaiting(m_service);
    }
    waiting_for_loan(const waiting_for_loan &) = delete;
    waiting_for_loan &operator=(const waiting_for_loan &) = delete;

private:
    second_send_loans &m_loans;
    service_key m_service;
};

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

std::optional<resend_budget::ticket> request_session::takeResend(resend_budget::cause why, time_point now)
{
    return m_context.state.resends.tryTake(m_service, why, now, m_context.state.peers.largestFleetSize());
}

asio::awaitable<std::optional<resend_budget::ticket>> request_session::takeOrBorrowResend()
{
    const time_point start = m_context.clock.now();
    auto taken = takeResend(resend_budget::cause::interrupted, start);
    if (taken || m_context.state.peers.reportTargets(m_context.state.peers.ownCell(), start).empty()) {
        co_return taken;
    }
    second_send_loans &loans = m_context.state.resends.borrowed();
    const waiting_for_loan waiting(loans, keyOf(m_service));
    const time_point until = std::min(start + second_send_loans::maxWait, m_deadlineAt - minTimeForSend);
    for (time_point now = start; !taken && now < until; now = m_context.clock.now()) {
        if (loans.isAskDue(now)) {
            m_context.scheduleReport();
        }
        m_hedgeTimer.expires_after(second_send_loans::checkInterval);
        boost::system::error_code cancelled;
        co_await m_hedgeTimer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
        if (m_isCallerGone || m_isDeadlinePassed || m_context.isEnding) {
            co_return std::nullopt;
        }
        taken = takeResend(resend_budget::cause::interrupted, m_context.clock.now());
    }
    co_return taken;
}

void request_session::countDelivery()
{
    ++m_deliveredSends;
    m_resend.reset();
    m_resendTo.reset();
}

void request_session::giveResendBack()
{
    if (const auto unused = std::exchange(m_resend, std::nullopt)) {
        m_context.state.resends.giveBack(*unused, m_context.clock.now());
    }
}

asio::awaitable<next_step> request_session::stepAfter(attempt_failure failure)
{
    const time_point now = m_context.clock.now();
    countRun(failure);
    const bool hasReachedNone = failure.outcome == verdict::not_run && (failure.isUnreachable || failure.isUnreserved);
    if (!hasReachedNone) {
        m_resend.reset();
    }
    if (failure.outcome == verdict::not_run) {
        readmitServers(now);
    }
    const bool isRelayLost = failure.isByRelay && failure.outcome != verdict::not_run;
    if (isRelayLost) {
        m_resendTo = backend_server_id(m_lastServer);
    }
    if (m_resendTo) {
        m_excluded.erase(*m_resendTo); // It may have been silent for a while, or not reached.
    }
    retry_state state = retryState(now);
    if (m_resendTo) {
        --state.possibleRuns; // The next send goes to the same server.
    }
    const next_step stepIfWithinBudget = decideRetry(failure, state);
    if (stepIfWithinBudget != next_step::send_again) {
        const std::string_view limit = limitOfSends(now);
        logResendDenied(!state.hasOtherServer ? "no_server" : !limit.empty() ? limit : "not_allowed");
        co_return stepIfWithinBudget;
    }
    if (!needsResendBudget(failure, m_deliveredSends)) {
        co_return stepIfWithinBudget;
    }
    giveResendBack(); // Of an earlier send that reached no server.
    if (causeOfNextSend(state) == resend_budget::cause::refused) {
        m_resend = takeResend(resend_budget::cause::refused, now);
    } else {
        m_resend = co_await takeOrBorrowResend();
        if (m_isCallerGone) {
            co_return next_step::fail;
        }
        const unsigned possibleRuns = state.possibleRuns; // Does not count the server that an unfinished relay still uses.
        state = retryState(m_context.clock.now());
        state.possibleRuns = possibleRuns;
    }
    state.hasBudget = m_resend.has_value();
    const next_step step = decideRetry(failure, state);
    if (step != next_step::send_again) {
        const std::string_view limit = limitOfSends(m_context.clock.now());
        logResendDenied(!state.hasBudget && limit.empty() ? "budget"
                : !state.hasOtherServer                   ? "no_server"
                : !limit.empty()                          ? limit
                                                          : "not_allowed");
        giveResendBack();
    }
    co_return step;
}

void request_session::readmitServers(time_point now)
{
    if (m_mayHaveRun && m_context.state.candidates(m_service, m_excluded, server_scope::fleet, now).empty()) {
        m_excluded = m_failed;
        m_failedSends.recordReadmission();
    }
}

asio::awaitable<void> request_session::pauseBeforeSend()
{
    const milliseconds pause = m_failedSends.pauseBeforeNext();
    if (pause.count() == 0) {
        co_return;
    }
    m_hedgeTimer.expires_after(pause);
    boost::system::error_code cancelled;
    co_await m_hedgeTimer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
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
