#include "programs/gateway/request_session.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds hedgeRetryInterval{ 120 }; ///< While no other server can take the request; about a batch step.

} // namespace

void request_session::watchStall(milliseconds timeout)
{
    m_stallTimer.expires_after(timeout);
    m_stallTimer.async_wait([this, alive = m_alive](boost::system::error_code failure) {
        if (!failure && *alive && m_closeConnection) {
            onStall();
        }
    });
}

// Silence does not tell a lost server from one that pauses, so the connection to it stays open until another has answered.
void request_session::onStall()
{
    // A server that answers other requests is slow, not lost; a hedge would only add load.
    const bool isSlow = !m_isStallExtended && m_context.state.serverSuspicion.isResponding(m_currentServer, m_context.clock.now());
    if (m_hedge || isSlow || !mayHedge()) {
        m_isStallExtended = true;
        watchStall(stallTimeout());
        return;
    }
    startHedge();
    watchStall(m_hedge ? stallTimeout() : hedgeRetryInterval);
}

bool request_session::mayHedge()
{
    const time_point now = m_context.clock.now();
    if (const auto *silent = m_context.state.findServer(m_currentServer)) {
        m_excluded.insert(silent->entry.id);
    }
    retry_state state = retryState(now);
    state.mayHaveRun = true;
    state.possibleRuns = m_possibleRuns + 1;
    state.hasBudget
        = m_context.state.resends.hasRoom(m_service, resend_budget::cause::interrupted, now, m_context.state.peers.largestFleetSize());
    const attempt_failure lost = makeFailure(verdict::may_have_run);
    return decideRetry(lost, state) == next_step::send_again;
}

void request_session::startHedge()
{
    const time_point now = m_context.clock.now();
    const placement_decision placed = choosePlacement(now);
    const auto *server = placed.parts.empty() ? nullptr : m_context.state.findServer(placed.parts.front().server);
    const auto cause = resend_budget::cause::interrupted;
    if (placed.next != placement_decision::action::send || !server || m_context.state.quarantine.quarantinedUntil(m_parts)
        || !m_context.state.resends.tryTake(m_service, cause, now, m_context.state.peers.largestFleetSize())) {
        return;
    }
    hedged_send::order sent;
    sent.attempt = m_head.attempt;
    sent.placed = placed;
    sent.workId = registerWork(placed, now);
    sent.reservations = makeReservations(placed, sent.workId);
    sent.server = server->entry.id;
    sent.start = startKeyOf(server->entry);
    sent.address = server->entry.address;
    sent.message = messageFor(placed, sent.reservations.get(), now);
    sent.limits = limitsFor(now);
    sent.isStream = m_route->isStream;
    ++m_sends;
    m_context.log.write(log_line("hedge_sent")
                            .add("request", m_head.attempt.str())
                            .add("silent", m_lastServer)
                            .add("server", sent.server.str())
                            .add("lastEvent", m_lastEvent ? static_cast<std::int64_t>(*m_lastEvent) : -1)
                            .add("age", age(now)));
    m_hedge = std::make_shared<hedged_send>(m_context, std::move(sent));
    m_hedge->start(m_exchange.executor(), [this, alive = m_alive] {
        if (*alive) {
            onHedgeDone();
        }
    });
}

void request_session::onHedgeDone()
{
    if (m_hedge->hasAnswer()) {
        m_closedBecause = "silent";
        if (m_closeConnection) {
            m_closeConnection();
        }
    } else {
        m_excluded.insert(m_hedge->sent().server);
        recordServerNotices(m_hedge->head(), m_hedge->sent().placed.parts.front().server);
        if (m_hedge->isUnreachable()) {
            m_context.state.recordFailure(m_hedge->sent().placed.parts.front().server, true, m_context.clock.now());
        }
        if (m_hedge->isCutOff()) {
            m_context.state.quarantine.recordCrash(m_hedge->sent().start, m_parts, m_hedge->sentAt(), m_context.clock.now());
            m_context.scheduleReport();
        }
        dropHedge("failed");
    }
    m_hedgeTimer.cancel();
}

void request_session::dropHedge(std::string_view why)
{
    const auto hedge = std::exchange(m_hedge, nullptr);
    if (!hedge) {
        return;
    }
    hedge->cancel();
    const bool mayHaveRun = hedge->isDelivered() && hedge->outcome() != verdict::not_run;
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    m_possibleRuns += mayHaveRun ? 1 : 0;
    m_deliveredSends += hedge->isDelivered() ? 1 : 0;
    if (hedge->sent().reservations) {
        hedge->sent().reservations->release();
    }
    m_context.state.loads.finish(hedge->sent().workId);
    m_context.scheduleReport();
    m_context.metrics.recordSendOutcome("hedge_dropped");
    m_context.log.write(log_line("hedge_dropped")
                            .add("request", m_head.attempt.str())
                            .add("server", hedge->sent().server.str())
                            .add("why", why)
                            .add("verdict", toString(mayHaveRun ? verdict::may_have_run : verdict::not_run))
                            .add("age", age(m_context.clock.now())));
}

asio::awaitable<bool> request_session::waitForHedge()
{
    while (m_hedge && !m_hedge->hasAnswer()) {
        m_hedgeTimer.expires_at(m_deadlineAt);
        boost::system::error_code ignored;
        co_await m_hedgeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (m_isCallerGone || m_isDeadlinePassed) {
            dropHedge(m_closedBecause);
        }
    }
    co_return m_hedge != nullptr;
}

asio::awaitable<std::optional<attempt_failure>> request_session::continueWithHedge()
{
    const auto hedge = std::exchange(m_hedge, nullptr);
    m_workId = hedge->sent().workId;
    m_reservations = hedge->sent().reservations;
    m_currentServer = hedge->sent().placed.parts.front().server;
    m_lastServer = hedge->sent().server.str();
    m_closeConnection = hedge->closer();
    m_closedBecause = {};
    m_sentAt = hedge->sentAt();
    m_currentStart = hedge->sent().start;
    m_firstEventOfSendAt.reset();
    m_faultyServer.clear();
    m_isStallExtended = false;
    m_events.discardPartialEvent();
    ++m_deliveredSends;
    const auto answer = hedge->takeAnswer();
    watchStall(stallTimeout());
    co_return co_await relayAnswer(*answer);
}

} // namespace mustardtrail::gateway
