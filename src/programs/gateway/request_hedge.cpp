#include "programs/gateway/request_session.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds maxTimerDelay{ 50 }; ///< Of a timer in a process that runs undisturbed.
constexpr milliseconds hedgeRetryInterval{ 120 }; ///< While no other server can take the request; about a batch step.

} // namespace

void request_session::watchStall(milliseconds timeout)
{
    const unsigned watch = ++m_stallWatch;
    m_stallTimer.expires_after(timeout);
    m_stallTimer.async_wait([this, alive = m_alive, watch](boost::system::error_code failure) {
        const bool isCurrent = !failure && *alive && watch == m_stallWatch;
        if (!isCurrent || !m_closeConnection) {
            return;
        }
        // This instance stood still: what the server sent meanwhile is still to be read.
        const bool isLate = m_context.clock.now() - m_stallTimer.expiry() > maxTimerDelay;
        if (isLate) {
            watchStall(maxTimerDelay);
        } else {
            onStall();
        }
    });
}

// A handler that is due already runs in spite of the cancellation, so it is told apart by its number.
void request_session::stopWatchingStall()
{
    ++m_stallWatch;
    m_stallTimer.cancel();
}

// Silence does not tell a lost server from one that pauses, so the connection to it stays open until another has answered.
void request_session::onStall()
{
    // A server that answers other requests is slow, not lost; a hedge would only add load.
    const bool isSlow = !m_isStallExtended && m_context.state.serverSuspicion.isResponding(m_currentServer, m_context.clock.now());
    if (!isSlow) {
        recordSilence();
    }
    if (isSlow || !mayHedge()) {
        m_isStallExtended = true;
        watchStall(stallTimeout());
        return;
    }
    const bool isSent = startHedge();
    watchStall(isSent ? stallTimeout() : hedgeRetryInterval);
}

void request_session::recordSilence()
{
    if (const auto *silent = m_context.state.findServer(m_currentServer)) {
        const time_point silentSince = m_firstEventOfSendAt ? m_lastEventAt : m_sentAt;
        m_context.servers.recordSilence(silent->entry.address, silentSince);
    }
}

bool request_session::mayHedge()
{
    const time_point now = m_context.clock.now();
    if (const auto *silent = m_context.state.findServer(m_currentServer)) {
        m_excluded.insert(silent->entry.id);
    }
    retry_state state = retryState(now);
    state.mayHaveRun = true;
    state.possibleRuns = possibleRunsWithSends();
    state.hasBudget
        = m_context.state.resends.hasRoom(m_service, resend_budget::cause::silent, now, m_context.state.peers.largestFleetSize());
    const attempt_failure lost = makeFailure(verdict::may_have_run);
    return decideRetry(lost, state) == next_step::send_again;
}

bool request_session::startHedge()
{
    const time_point now = m_context.clock.now();
    const placement_decision placed = choosePlacement(now);
    const auto *server = placed.parts.empty() ? nullptr : m_context.state.findServer(placed.parts.front().server);
    if (placed.next != placement_decision::action::send || !server || m_context.state.quarantine.quarantinedUntil(m_parts)) {
        return false;
    }
    const auto resend = takeResend(resend_budget::cause::silent, now);
    if (!resend) {
        return false;
    }
    m_context.log.write(log_line("hedge_sent")
                            .add("request", m_head.attempt.str())
                            .add("silent", m_lastServer)
                            .add("server", server->entry.id.str())
                            .add("lastEvent", static_cast<std::int64_t>(m_position.lastId().value_or(-1)))
                            .add("age", age(now)));
    launchHedge(placed, *server, resend, std::nullopt, now);
    return true;
}

void request_session::launchHedge(const placement_decision &placed,
    const server_directory::known_server &server,
    const std::optional<resend_budget::ticket> &resend,
    std::optional<second_copy_account::ticket> copy,
    time_point now)
{
    hedged_send::order sent;
    sent.attempt = m_attempt;
    sent.placed = placed;
    sent.workId = registerWork(placed, now);
    sent.reservations = makeReservations(placed, sent.workId);
    sent.server = server.entry.id;
    sent.start = startKeyOf(server.entry);
    sent.address = server.entry.address;
    sent.message = messageFor(placed, sent.reservations.get(), now);
    sent.limits = limitsFor(now);
    sent.isStream = m_route->isStream;
    sent.position = m_position;
    sent.resend = resend;
    sent.copy = copy;
    ++m_sends;
    m_excluded.insert(sent.server);
    const auto hedge = std::make_shared<hedged_send>(m_context, std::move(sent));
    m_hedges.push_back(hedge);
    hedge->start(m_exchange.executor(), [this, alive = m_alive, id = hedge.get()] {
        if (*alive) {
            onHedgeDone(id);
        }
    });
}

std::shared_ptr<hedged_send> request_session::answeredHedge() const
{
    const auto found = std::find_if(m_hedges.begin(), m_hedges.end(), [](const auto &hedge) {
        return hedge->hasAnswer();
    });
    return found == m_hedges.end() ? nullptr : *found;
}

void request_session::onHedgeDone(const hedged_send *done)
{
    const auto found = std::find_if(m_hedges.begin(), m_hedges.end(), [done](const auto &hedge) {
        return hedge.get() == done;
    });
    if (found == m_hedges.end()) {
        return;
    }
    const auto hedge = *found;
    if (hedge->hasAnswer()) {
        if (m_closeConnection) { // Else the first server ended the send itself.
            m_closedBecause = hedge->sent().copy ? copyAnswered : "silent";
            m_closeConnection();
        }
    } else {
        m_hedges.erase(found); // First, as a crash may convict the prompt, which drops all hedges.
        const time_point now = m_context.clock.now();
        const server_key server = hedge->sent().placed.parts.front().server;
        recordServerNotices(hedge->head(), server, hedge->sent().start);
        if (hedge->isUnreachable()) {
            m_context.state.recordFailure(server, hedge->sent().start, true, now);
        }
        if (hedge->isCutOff()) {
            recordCrash(server, hedge->sent().start, hedge->sent().server.str(), hedge->sentAt(), now);
        }
        dropHedge(*hedge, "failed");
    }
    m_hedgeTimer.cancel();
}

void request_session::dropHedges(std::string_view why)
{
    for (const auto &hedge : std::exchange(m_hedges, {})) {
        dropHedge(*hedge, why);
    }
}

void request_session::dropHedge(hedged_send &hedge, std::string_view why)
{
    hedge.cancel();
    const bool mayHaveRun = hedge.isDelivered() && hedge.outcome() != verdict::not_run;
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    if (mayHaveRun) {
        m_possibleRuns.insert(hedge.sent().server);
    }
    m_deliveredSends += hedge.isDelivered() ? 1 : 0;
    if (!hedge.isDelivered() && hedge.sent().resend) {
        m_context.state.resends.giveBack(*hedge.sent().resend, m_context.clock.now());
    }
    if (mayHaveRun || hedge.outcome() == verdict::not_run) { // Else it was given up before it reached a server.
        attempt_failure failure = makeFailure(mayHaveRun ? verdict::may_have_run : verdict::not_run);
        failure.isUnreachable = hedge.isUnreachable();
        failure.isUnreserved = hedge.isUnreserved();
        m_failedSends.record(failure);
    }
    if (hedge.sent().reservations) {
        excludeRefusing(*hedge.sent().reservations);
        hedge.sent().reservations->release();
    }
    m_context.state.loads.finish(hedge.sent().workId);
    m_context.scheduleReport();
    recordCopyEnd(hedge, false);
    m_context.metrics.recordSendOutcome("hedge_dropped");
    m_context.log.write(log_line("hedge_dropped")
                            .add("request", m_head.attempt.str())
                            .add("server", hedge.sent().server.str())
                            .add("why", why)
                            .add("verdict", toString(mayHaveRun ? verdict::may_have_run : verdict::not_run))
                            .add("age", age(m_context.clock.now())));
}

// The send before has ended, so no stall timer runs: servers that are silent here are made up for by others too.
asio::awaitable<bool> request_session::waitForHedge()
{
    while (!m_hedges.empty() && !answeredHedge()) {
        m_hedgeTimer.expires_after(stallTimeout());
        boost::system::error_code cancelled;
        co_await m_hedgeTimer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
        if (m_isCallerGone || m_isDeadlinePassed || m_context.isEnding) {
            dropHedges(m_closedBecause);
        } else if (!cancelled && !answeredHedge() && mayHedge()) {
            startHedge();
        }
    }
    co_return !m_hedges.empty();
}

asio::awaitable<std::optional<attempt_failure>> request_session::continueWithHedge()
{
    const auto hedge = answeredHedge();
    std::erase(m_hedges, hedge);
    recordCopyEnd(*hedge, true);
    dropHedges("another_answered");
    m_workId = hedge->sent().workId;
    m_reservations = hedge->sent().reservations;
    if (m_reservations) {
        m_reservations->onGivenUp([this, alive = m_alive] {
            if (*alive) {
                onReservationGivenUp();
            }
        });
    }
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
