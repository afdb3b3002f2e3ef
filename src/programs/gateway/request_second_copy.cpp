#include "programs/gateway/request_session.h"

#include "gateway/server_choice.h"

#include <algorithm>
#include <numeric>

namespace mustardtrail::gateway
{

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds maxTimerDelay{ 50 }; ///< Of a timer in a process that runs undisturbed.
constexpr milliseconds defaultSlowAfter{ 1'000 }; ///< For a route without a latency target, while too few latencies are known.
constexpr milliseconds shortestAgeCheck{ 20 }; ///< Between checks of a copy that takes longer than expected.
constexpr double typicalQuantile = 0.5;

milliseconds millis(microseconds value)
{
    return duration_cast<milliseconds>(value);
}

} // namespace

std::int64_t request_session::requestSize() const
{
    return m_head.promptTokens.value_or(static_cast<std::int64_t>(m_exchange.request().body->size()));
}

bool request_session::countsLatency() const
{
    return m_context.secondCopies.limit > 0.0 && mayBeCopied(*m_route);
}

void request_session::watchForCopy(const placement_decision &placed)
{
    if (!countsLatency() || m_firstEventAt || m_exchange.hasStarted()) {
        return;
    }
    const time_point now = m_context.clock.now();
    second_copies &copies = m_context.secondCopies;
    m_firstForecast = placed.predictedFirstEvent;
    if (m_route->isStream && m_sends == 1) {
        copies.account.recordRequest(m_service, copyWork(placed, now), now);
    }
    const auto slow = copies.latencies.quantile(m_route->name, requestSize(), slowQuantile, minLatencySamples, now);
    const milliseconds target = m_route->latencyTarget.count() > 0 ? m_route->latencyTarget : defaultSlowAfter;
    watchForCopyUntil(m_sentAt + (slow.samples >= minLatencySamples ? slow.value : microseconds(target)));
}

void request_session::watchForCopyUntil(time_point due)
{
    const unsigned watch = ++m_copyWatch;
    m_copyTimer.expires_at(due);
    m_copyTimer.async_wait([this, alive = m_alive, watch](boost::system::error_code failure) {
        const bool isCurrent = !failure && *alive && watch == m_copyWatch;
        if (!isCurrent || !m_closeConnection || m_isCallerGone || m_isDeadlinePassed) {
            return;
        }
        // This instance stood still: what the server sent meanwhile is still to be read.
        const time_point now = m_context.clock.now();
        if (now - m_copyTimer.expiry() > maxTimerDelay) {
            watchForCopyUntil(now + maxTimerDelay);
        } else {
            onSlow();
        }
    });
}

void request_session::stopWatchingForCopy()
{
    ++m_copyWatch;
    m_copyTimer.cancel();
}

void request_session::onSlow()
{
    const time_point now = m_context.clock.now();
    const placement_decision copy = placeCopy(now);
    const second_copy_state state = copyState(copy, now);
    const second_copy_verdict verdict = decideSecondCopy(state);
    const auto *server = state.copyForecast ? m_context.state.findServer(copy.parts.front().server) : nullptr;
    logCopyDecision(state, verdict, server ? server->entry.id.str() : "none", now);
    if (verdict.next == second_copy_verdict::action::wait) {
        watchForCopyUntil(m_sentAt + verdict.waitUntil);
        return;
    }
    if (verdict.next != second_copy_verdict::action::send || !server) {
        return;
    }
    const auto resend = takeResend(resend_budget::cause::copy, now);
    if (!resend) {
        return;
    }
    // The first server is not asked again, whichever send answers.
    if (const auto *first = m_context.state.findServer(m_currentServer)) {
        m_excluded.insert(first->entry.id);
    }
    const auto ticket = m_context.secondCopies.account.startCopy(m_service, copyWork(copy, now), m_route->isStream, now);
    m_context.metrics.recordSecondCopy("sent");
    launchHedge(copy, *server, resend, ticket, now);
    watchCopyAge(copyWork(copy, now));
}

void request_session::watchCopyAge(microseconds delay)
{
    const unsigned watch = ++m_copyWatch;
    m_copyTimer.expires_after(std::max(delay, microseconds(shortestAgeCheck)));
    m_copyTimer.async_wait([this, alive = m_alive, watch](boost::system::error_code failure) {
        if (!failure && *alive && watch == m_copyWatch) {
            onCopyOverdue();
        }
    });
}

// The forecast was wrong: the other server is slow too. While the first send runs, the copy may be given up at any time.
void request_session::onCopyOverdue()
{
    const auto found = std::find_if(m_hedges.begin(), m_hedges.end(), [](const auto &hedge) {
        return hedge->sent().copy.has_value();
    });
    if (found == m_hedges.end()) {
        return;
    }
    const auto copy = *found;
    second_copies &copies = m_context.secondCopies;
    if (copy->hasAnswer() || !copies.account.mustEnd(*copy->sent().copy, copies.limit, m_context.clock.now())) {
        watchCopyAge(shortestAgeCheck);
        return;
    }
    m_hedges.erase(found);
    dropHedge(*copy, "limit");
}

placement_decision request_session::placeCopy(time_point now)
{
    const auto excluded = m_excluded;
    for (const placement_candidate &each : m_context.state.candidates(m_service, excluded, server_scope::fleet, now)) {
        const auto *server = m_context.state.findServer(each.key);
        copy_server_state state;
        state.isCold = server && now < server->coldUntil;
        const bool isSlowEngine = server && m_context.state.speeds.slownessOf(startKeyOf(server->entry), now) > 1.0;
        state.isSlow = isSlowEngine || m_context.secondCopies.overtaken.isSlow(each.key, now);
        if (server && (each.key == m_currentServer || !isFitForCopy(each, state))) {
            m_excluded.insert(server->entry.id);
        }
    }
    const placement_decision copy = choosePlacement(now);
    m_excluded = excluded;
    return copy;
}

second_copy_state request_session::copyState(const placement_decision &copy, time_point now)
{
    const second_copies &copies = m_context.secondCopies;
    second_copy_state state;
    state.isRepeatable = mayBeCopied(*m_route);
    state.hasFirstEvent = m_firstEventAt || m_exchange.hasStarted();
    state.elapsed = duration_cast<microseconds>(now - m_sentAt);
    state.firstForecast = m_firstForecast;
    state.slow = copies.latencies.quantile(m_route->name, requestSize(), slowQuantile, minLatencySamples, now);
    for (const placement_candidate &each : m_context.state.candidates(m_service, {}, server_scope::fleet, now)) {
        const unsigned used = std::min(each.slots, each.load.requests + each.unseenRequests);
        state.slots += each.slots;
        state.freeSlots += each.isSuspected ? 0 : each.slots - used;
    }
    state.waitingPrompts = m_context.queue.size() + m_context.state.waiting.reportedCount(now);
    state.isPromptDoubted = m_isTrial || m_context.state.quarantinedUntil(m_parts, now).has_value();
    if (copy.next == placement_decision::action::send && !copy.isServerUnfit && !copy.parts.empty()) {
        const auto typical = copies.latencies.quantile(m_route->name, requestSize(), typicalQuantile, minLatencySamples, now);
        state.copyForecast = m_route->isStream && copy.predictedFirstEvent.count() > 0 ? copy.predictedFirstEvent : typical.value;
    }
    state.timeLeft = duration_cast<microseconds>(m_deadlineAt - now);
    state.attempts = possibleRunsWithSends();
    state.maxAttempts = m_route->maxServers;
    state.hasBudget = m_context.state.resends.hasRoom(m_service, resend_budget::cause::copy, now, m_context.state.peers.largestFleetSize());
    state.admittedShare = m_context.secondCopies.account.admittedShare(m_service, copies.limit, copyWork(copy, now), now);
    state.isWithinLimit = m_context.random.unit() < state.admittedShare;
    return state;
}

microseconds request_session::copyWork(const placement_decision &copy, time_point now) const
{
    const auto &latencies = m_context.secondCopies.latencies;
    const auto prefill = std::accumulate(copy.parts.begin(), copy.parts.end(), microseconds(0), [](microseconds sum, const auto &part) {
        return sum + part.prefillTime;
    });
    const bool hasPrefill = m_route->isStream && prefill.count() > 0;
    return hasPrefill ? prefill : latencies.quantile(m_route->name, requestSize(), slowQuantile, minLatencySamples, now).value;
}

void request_session::logCopyDecision(
    const second_copy_state &state, const second_copy_verdict &verdict, std::string_view server, time_point now)
{
    const second_copy_work work = m_context.secondCopies.account.workOf(m_service, now);
    m_context.log.write(log_line("second_copy")
                            .add("request", m_head.attempt.str())
                            .add("service", m_service.str())
                            .add("next", toString(verdict.next))
                            .add("why", verdict.reason)
                            .add("slow", m_lastServer)
                            .add("server", server)
                            .add("elapsed", millis(state.elapsed))
                            .add("quantile", millis(state.slow.value))
                            .add("samples", state.slow.samples)
                            .add("firstForecast", millis(state.firstForecast))
                            .add("forecast", millis(state.copyForecast.value_or(milliseconds(-1))))
                            .add("left", millis(state.timeLeft))
                            .add("free", state.freeSlots)
                            .add("slots", state.slots)
                            .add("waiting", static_cast<std::int64_t>(state.waitingPrompts))
                            .add("attempts", state.attempts)
                            .add("most", state.maxAttempts)
                            .add("budget", state.hasBudget ? "yes" : "no")
                            .add("work", millis(work.requests))
                            .add("extra", millis(work.copies))
                            .add("elsewhere", millis(work.requestsElsewhere))
                            .add("limit", std::to_string(m_context.secondCopies.limit))
                            .add("admitted", std::to_string(state.admittedShare))
                            .add("age", age(now)));
}

void request_session::recordCopyEnd(hedged_send &hedge, bool isWon)
{
    if (!hedge.sent().copy) {
        return;
    }
    const time_point now = m_context.clock.now();
    const auto work = m_context.secondCopies.account.finishCopy(*hedge.sent().copy, now);
    m_context.metrics.recordExtraWork(m_service.str(), work);
    m_context.metrics.recordSecondCopy(isWon ? "won" : "lost");
    if (!isWon && hedge.hasAnswer()) {
        m_context.metrics.recordSecondCopy("cancelled_late");
    }
    const bool isFirstSlow = isWon && m_closedBecause == copyAnswered;
    if (isFirstSlow) {
        m_context.secondCopies.overtaken.record(m_currentServer, now);
        // How long it would have taken is not known. Without this bound the quantile would fall with each copy that wins.
        m_context.secondCopies.latencies.record(m_route->name, requestSize(), duration_cast<microseconds>(now - m_sentAt), now);
    }
}

void request_session::recordLateLoser(const hedged_send &winner)
{
    if (winner.sent().copy) {
        m_context.metrics.recordSecondCopy("cancelled_late");
    }
}

void request_session::recordLatency(time_point now)
{
    stopWatchingForCopy();
    const bool isFirstEvent = !m_firstEventAt || *m_firstEventAt == now; // Of the caller, not of a continued stream.
    if (!countsLatency() || !isFirstEvent) {
        return;
    }
    const auto latency = duration_cast<microseconds>(now - m_sentAt);
    m_context.secondCopies.latencies.record(m_route->name, requestSize(), latency, now);
    if (!m_route->isStream) {
        m_context.secondCopies.account.recordRequest(m_service, latency, now);
    }
}

} // namespace mustardtrail::gateway
