#include "programs/gateway/request_session.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds noViewRetryAfter{ 500 }; ///< A starting or disconnected instance usually recovers within this time.

} // namespace

request_session::request_session(gateway_context &context, http::exchange &exchange)
    : m_context(context)
    , m_exchange(exchange)
    , m_head(platform::readRequestHead(exchange.request()))
    , m_attempt(std::make_shared<sent_attempt>(m_head.attempt))
    , m_routes(context.state.routes)
    , m_arrivedAt(context.clock.now())
    , m_placementTimer(exchange.executor())
    , m_deadlineTimer(exchange.executor())
    , m_stallTimer(exchange.executor())
    , m_hedgeTimer(exchange.executor())
    , m_copyTimer(exchange.executor())
    , m_placement(context.state, context.random)
{
}

request_session::~request_session()
{
    dropHedges("request_ended");
    endWaiting("request_ended");
    if (m_workId != 0) { // An exception ended the session in the middle of a send.
        m_context.state.loads.finish(m_workId);
        m_context.state.speeds.endSend(m_currentStart, m_workId, m_context.clock.now());
    }
    m_context.onQuarantined.erase(m_hook);
    m_context.onEnding.erase(m_hook);
    m_context.onProcessEnd.erase(m_hook);
    *m_alive = false;
}

milliseconds request_session::age(time_point now) const
{
    return duration_cast<milliseconds>(now - m_arrivedAt);
}

std::optional<request_session::refusal> request_session::admit()
{
    const http::request_message &request = m_exchange.request();
    // The timer that stops the server may fire late.
    const bool isLate = m_context.stopSchedule && !m_context.stopSchedule->accepts(m_arrivedAt);
    if (m_context.isEnding || isLate) {
        return refusal{ 503, std::string(instanceEnds), milliseconds(0) };
    }
    if (!m_context.state.mayServe(m_arrivedAt)) {
        return refusal{ 503, m_routes ? "config_not_confirmed" : "no_config", noViewRetryAfter };
    }
    m_route = m_routes->find(m_head.host, request.path());
    if (!m_route) {
        return refusal{ 404, "no_route", std::nullopt };
    }
    // Its answer would come after the final ones. It would have run then, and could not be sent again.
    const bool mayOnlyRunOnce = m_route->retrySemantics == retry_semantics::once;
    if (mayOnlyRunOnce && m_context.stopSchedule && m_arrivedAt + m_route->latencyTarget > m_context.stopSchedule->finalAnswersAt()) {
        return refusal{ 503, std::string(instanceEnds), milliseconds(0) };
    }
    if (m_routes->needsKeys() && !m_route->isPublic) {
        const auto customer = m_routes->customerOf(m_head.key);
        if (!customer) {
            return refusal{ 401, "unknown_key", std::nullopt };
        }
        m_customer = *customer;
    }
    m_deadlineAt = m_arrivedAt + requestTimeLimit(*m_route, m_head.timeLeft);
    m_service = chooseServiceByWeight(*m_route, m_context.random.unit());
    m_policy = m_routes->policyOf(m_service);
    m_position = stream_position(m_head.lastEvent);
    m_parts = promptParts(m_head.sharedParts, m_head.ownPart);
    if (m_parts.empty()) {
        m_parts.push_back(wholeRequestPart(m_customer.str(), request.method, request.target, *request.body));
    }
    m_hook = 1 + m_context.random.below(~std::uint64_t{ 0 });
    m_context.onQuarantined[m_hook] = [this](prompt_part part) {
        onQuarantined(part);
    };
    m_context.onEnding[m_hook] = [this] {
        onEnding();
    };
    m_context.onProcessEnd[m_hook] = [this] {
        onProcessEnd();
    };
    m_context.state.resends.countRequest(m_service, m_arrivedAt);
    return std::nullopt;
}

asio::awaitable<void> request_session::run()
{
    if (const auto refused = admit()) {
        co_await refuse(*refused);
        co_return;
    }
    watchCaller();
    watchDeadline();
    while (true) {
        placement_decision placed = co_await waitForPlacement();
        if (m_isCallerGone || placed.next != placement_decision::action::send) {
            unregisterWork();
        }
        if (m_isCallerGone) {
            logOutcome("caller_gone", 0, "waiting");
            co_return;
        }
        if (placed.next != placement_decision::action::send) {
            attempt_failure failure = makeFailure(m_mayHaveRun ? verdict::may_have_run : verdict::not_run);
            failure.hasAnswer = m_serverFailure.has_value();
            if (m_exchange.hasStarted() || m_mayHaveRun) {
                logResendDenied(placed.reason);
                const next_step finalStep = m_exchange.hasStarted() ? next_step::abort_answer
                    : m_serverFailure                               ? next_step::relay_failure
                                                                    : next_step::fail;
                co_await finishFailed(failure, finalStep);
                co_return;
            }
            const refusal answer{ 503, std::string(placed.reason), placed.retryAfter };
            co_await refuse(answer);
            co_return;
        }
        auto failure = co_await send(placed);
        finishSend();
        const bool hasHedge = failure && co_await waitForHedge();
        if (hasHedge) {
            recordFailure(placed, *failure);
            countRun(*failure);
            placed = answeredHedge()->sent().placed;
            failure = co_await continueWithHedge();
            finishSend();
        }
        if (!failure) {
            logOutcome("request_served", 200, m_lastServer);
            co_return;
        }
        if (m_isCallerGone) {
            logOutcome("caller_gone", 0, m_lastServer);
            co_return;
        }
        recordFailure(placed, *failure);
        const next_step step = co_await stepAfter(*failure);
        if (m_isCallerGone) {
            logOutcome("caller_gone", 0, m_lastServer);
            co_return;
        }
        if (step != next_step::send_again) {
            co_await finishFailed(*failure, step);
            co_return;
        }
        m_events.discardPartialEvent();
        co_await pauseBeforeSend();
    }
}

placement_subject request_session::subject() const
{
    placement_subject subject{ *m_routes, *m_route, m_service, m_policy, m_customer, m_excluded };
    subject.promptTokens = m_head.promptTokens;
    subject.answerTokens = m_head.answerTokens;
    subject.arrivedAt = m_arrivedAt;
    subject.deadlineAt = m_deadlineAt;
    if (m_firstEventAt) {
        subject.lastEventAt = m_lastEventAt;
    }
    subject.isPlaced = m_workId != 0;
    return subject;
}

placement_decision request_session::choosePlacement(time_point now)
{
    return m_placement.choose(subject(), now);
}

placement_decision request_session::tryPlacement(time_point now)
{
    if (const auto held = quarantineDecision(now)) {
        return *held;
    }
    placement_decision decision = m_resendTo ? placeAfterRelayLoss(now) : choosePlacement(now);
    if (const auto refused = refuseUnlessItCanFinish(decision, now)) {
        return *refused;
    }
    if (decision.next == placement_decision::action::send) {
        m_isTrial = m_context.state.quarantine.tryTrial(m_parts, now);
    }
    if (now >= m_deadlineAt) {
        decision.next = placement_decision::action::refuse;
        decision.reason = "deadline";
    }
    return decision;
}

asio::awaitable<placement_decision> request_session::waitForPlacement()
{
    const bool isQueuedFirst = mustQueue();
    placement_decision decision = isQueuedFirst ? placement_decision() : tryPlacement(m_context.clock.now());
    if (m_isCallerGone || decision.next != placement_decision::action::wait) {
        co_return decision;
    }
    const auto retryPlacement = [this, &decision](time_point now) -> attempt_result {
        decision = tryPlacement(now);
        if (decision.next == placement_decision::action::wait) {
            beginWaiting(decision, now);
            return false;
        }
        m_placementTimer.cancel();
        if (decision.next != placement_decision::action::send) {
            return attempt_result::givenUp();
        }
        m_workId = registerWork(decision, now);
        endWaiting("placed");
        return true;
    };
    const placement_queue::ticket ticket = m_context.queue.add(queuePriority(), retryPlacement);
    m_placementTimer.expires_at(m_deadlineAt);
    if (isQueuedFirst) {
        m_context.queue.tryAll(m_context.clock.now());
    }
    boost::system::error_code ignored;
    if (decision.next == placement_decision::action::wait) {
        beginWaiting(decision, m_context.clock.now());
        co_await m_placementTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_context.queue.remove(ticket);
    endWaiting(m_isCallerGone ? "caller_gone" : "refused");
    if (m_isCallerGone || m_isDeadlinePassed) {
        decision.next = placement_decision::action::refuse;
        decision.reason = "deadline";
    } else if (m_context.isEnding) {
        decision.next = placement_decision::action::refuse;
        decision.reason = instanceEnds;
        decision.retryAfter = milliseconds(0); // Other instances serve on.
    }
    co_return decision;
}

asio::awaitable<void> request_session::finishFailed(const attempt_failure &failure, next_step step)
{
    if (step == next_step::abort_answer) {
        logOutcome("stream_broken", 0, m_lastServer);
        co_return;
    }
    if (step == next_step::relay_failure && m_serverFailure) {
        logOutcome("failure_passed_on", m_serverFailure->status, m_lastServer);
        co_await m_exchange.respond(*m_serverFailure);
        co_return;
    }
    if (step == next_step::refuse && failure.outcome == verdict::not_run && m_context.isEnding) {
        const refusal answer{ 503, std::string(instanceEnds), milliseconds(0) }; // Other instances serve on.
        co_await refuse(answer);
        co_return;
    }
    if (step == next_step::refuse && failure.outcome == verdict::not_run) {
        const refusal answer{ 503, "servers_refused", milliseconds(200 + m_context.random.below(400)) };
        co_await refuse(answer);
        co_return;
    }
    refusal answer{ 502, "may_have_run", std::nullopt };
    if (m_isDeadlinePassed) {
        answer.status = 504;
        answer.reason = "timeout";
    }
    co_await refuse(answer);
}

asio::awaitable<void> request_session::refuse(const refusal &answer)
{
    m_context.metrics.recordRefusal(answer.reason);
    logRoomRefusal(answer);
    logOutcome("request_refused", answer.status, answer.reason);
    auto retryAfter = answer.retryAfter;
    if (retryAfter && m_route) {
        retryAfter = retryWithin(*retryAfter, duration_cast<milliseconds>(m_deadlineAt - m_context.clock.now()));
    }
    auto message = platform::localResponse(answer.status, answer.reason, retryAfter);
    co_await m_exchange.respond(std::move(message));
}

void request_session::unregisterWork()
{
    if (m_workId == 0) {
        return;
    }
    m_context.state.loads.finish(m_workId);
    m_context.state.speeds.endSend(m_currentStart, m_workId, m_context.clock.now());
    m_workId = 0;
    m_context.scheduleReport();
    m_context.queue.tryAll(m_context.clock.now());
}

void request_session::finishSend()
{
    unregisterWork();
    m_closeConnection = nullptr;
    m_isTrial = false;
    stopWatchingStall();
    stopWatchingForCopy();
    if (m_reservations) {
        m_reservations->release();
        m_reservations.reset();
    }
}

void request_session::watchCaller()
{
    m_exchange.onDisconnect([this] {
        m_isCallerGone = true;
        interrupt();
    });
}

void request_session::watchDeadline()
{
    m_deadlineTimer.expires_at(m_deadlineAt);
    m_deadlineTimer.async_wait([this, alive = m_alive](boost::system::error_code failure) {
        if (failure || !*alive) {
            return;
        }
        m_isDeadlinePassed = true;
        interrupt();
    });
}

void request_session::interrupt()
{
    m_placementTimer.cancel();
    m_closedBecause = m_isCallerGone ? "caller_gone" : m_isDeadlinePassed ? "deadline" : instanceEnds;
    if (m_closeConnection) {
        m_closeConnection();
    } else if (m_reservations) { // The prompt has not been sent.
        m_reservations->release();
    }
    dropHedges(m_closedBecause);
    m_hedgeTimer.cancel();
}

void request_session::onReservationGivenUp()
{
    if (m_closeConnection) {
        m_closedBecause = "memory_unused";
        m_closeConnection();
    }
}

void request_session::logOutcome(std::string_view event, int status, std::string_view reason)
{
    if (std::exchange(m_hasOutcome, true)) {
        return;
    }
    giveResendBack();
    const time_point now = m_context.clock.now();
    const std::string routeName = m_route ? m_route->name : "none";
    m_context.metrics.recordAnswer(routeName, status, now - m_arrivedAt);
    const auto timeToFirstEvent = m_firstEventAt ? duration_cast<milliseconds>(*m_firstEventAt - m_arrivedAt) : milliseconds(-1);
    m_context.log.write(log_line(event)
                            .add("request", m_head.attempt.str())
                            .add("route", routeName)
                            .add("customer", m_customer.empty() ? "none" : m_customer.str())
                            .add("first", timeToFirstEvent)
                            .add("pause", m_longestGap)
                            .add("status", status)
                            .add("detail", reason)
                            .add("config", static_cast<std::int64_t>(m_routes ? m_routes->version() : 0))
                            .add("sends", m_sends)
                            .add("age", age(now)));
}

} // namespace mustardtrail::gateway
