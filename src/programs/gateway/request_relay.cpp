#include "programs/gateway/request_session.h"

#include "programs/gateway/long_answer.h"

#include <algorithm>
#include <cmath>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace
{

constexpr double percent = 100.0;

std::int64_t percentOf(double factor)
{
    return std::lround(factor * percent);
}

} // namespace

std::string request_session::sharedPartsText() const
{
    std::string text;
    for (const std::string &part : m_head.sharedParts) {
        text += (text.empty() ? "" : ",") + part;
    }
    return text;
}

attempt_failure request_session::makeFailure(verdict outcome) const
{
    attempt_failure failure;
    failure.outcome = outcome;
    failure.lastEventId = m_position.lastId();
    failure.hasStarted = m_exchange.hasStarted();
    return failure;
}

attempt_failure request_session::makeUnreserved()
{
    attempt_failure failure = makeFailure(verdict::not_run);
    failure.isUnreserved = true;
    if (m_reservations) {
        excludeRefusing(*m_reservations);
    }
    return failure;
}

void request_session::excludeRefusing(const reservation_set &reservations)
{
    if (const auto refusing = reservations.refusedBy()) {
        m_excluded.insert(*refusing);
    }
}

attempt_failure request_session::toFailure(const error &problem) const
{
    attempt_failure failure = makeFailure(problem.outcome);
    failure.detail = std::string(toString(problem.code)) + ' ' + problem.detail;
    failure.isUnreachable = problem.code == error_code::backend_connect_failed || problem.code == error_code::peer_connect_failed;
    const bool isPeers = problem.code == error_code::peer_connection_lost || problem.code == error_code::peer_connect_failed;
    failure.isByRelay = isPeers && m_closedBecause.empty();
    failure.isCutOff = problem.code == error_code::backend_connection_lost && problem.outcome != verdict::not_run;
    return failure;
}

asio::awaitable<std::optional<attempt_failure>> request_session::send(const placement_decision &placed)
{
    const time_point now = m_context.clock.now();
    const auto *server = m_context.state.findServer(placed.parts.front().server);
    if (!server) {
        co_return makeFailure(verdict::not_run);
    }
    const endpoint address = server->entry.address;
    m_currentServer = placed.parts.front().server;
    m_currentStart = startKeyOf(server->entry);
    m_isStallExtended = false;
    m_lastServer = server->entry.id.str();
    m_faultyServer.clear();
    m_closedBecause = {};
    m_sentAt = now;
    m_firstEventOfSendAt.reset();
    ++m_sends;
    if (m_sends == 1) {
        m_context.metrics.recordQueueTime(m_route->name, now - m_arrivedAt);
    }
    if (m_workId == 0) {
        m_workId = registerWork(placed, now);
    }
    const bool isReserved = co_await reserve(placed);
    if (!isReserved || m_isCallerGone) {
        co_return makeUnreserved();
    }
    m_context.log.write(log_line("request_sent")
                            .add("request", m_head.attempt.str())
                            .add("server", m_lastServer)
                            .add("parts", static_cast<std::int64_t>(placed.parts.size()))
                            .add("tokens", m_head.promptTokens.value_or(0))
                            .add("shared", sharedPartsText())
                            .add("own", m_head.ownPart)
                            .add("part", std::to_string(m_parts.back()))
                            .add("predicted", duration_cast<milliseconds>(placed.predictedFirstEvent))
                            .add("pending", duration_cast<milliseconds>(placed.forecast.pending))
                            .add("step", duration_cast<milliseconds>(placed.forecast.step))
                            .add("others", duration_cast<milliseconds>(placed.forecast.expectedOthers))
                            .add("link", duration_cast<milliseconds>(placed.forecast.link))
                            .add("slowness", percentOf(placed.forecast.slowness))
                            .add("picture", placed.forecast.pictureAge)
                            .add("why", placed.reason)
                            .add("age", age(now)));
    recordSpeedOfSend(placed, now);
    http::request_message message = messageFor(placed, m_reservations.get(), now);
    http::call_limits limits = limitsFor(now);
    watchStall(firstEventTimeout(placed));
    watchForCopy(placed);
    auto answer = co_await m_context.servers.open(address, std::move(message), std::move(limits), m_attempt);
    if (!answer) {
        if (answer.error().outcome != verdict::not_run) {
            countDelivery();
        }
        m_context.metrics.recordSendOutcome(std::string(toString(answer.error().code)));
        co_return toFailure(answer.error());
    }
    countDelivery();
    co_return co_await relayAnswer(**answer);
}

asio::awaitable<std::optional<attempt_failure>> request_session::relayAnswer(http::response_stream &answer)
{
    m_context.state.recordAnswer(m_currentServer);
    const auto head = platform::readResponseHead(answer, m_head.attempt);
    recordServerNotices(head, m_currentServer, m_currentStart);
    if (head.isForOtherRequest) {
        m_context.metrics.recordSendOutcome("other_request");
        attempt_failure failure = makeFailure(head.outcome);
        failure.detail = "answer to another request, or a head with two values of Attempt-Id, Not-Run or Response-Stamp";
        co_return failure;
    }
    if (head.isSuccess && m_route->isStream) {
        m_context.state.serverSuspicion.recordSuccess(m_currentServer);
        co_return co_await relayStream(answer);
    }
    co_return co_await relayCompleteAnswer(answer, head);
}

void request_session::recordServerNotices(const platform::response_head &head, server_key server, server_start_key start)
{
    const time_point now = m_context.clock.now();
    // Only a success shows that a limit has ended; other answers need not come from the server itself.
    const bool saysLimit = head.requestsPerSecond || head.isSuccess;
    if (saysLimit && !head.isMisdirected) {
        m_context.state.recordRateLimit(server, start, head.requestsPerSecond, now);
    }
    if (head.isServerLeaving) {
        m_context.state.recordLeaving(server, start, now);
    }
    if (head.quietFor) {
        m_context.state.recordQuiet(server, start, *head.quietFor, now);
        m_context.metrics.recordSendOutcome("asked_for_quiet");
    }
}

// The head waits for the first event: until the caller has it, another server may answer instead.
asio::awaitable<void> request_session::startStream(const http::response_stream &answer)
{
    if (m_exchange.hasStarted()) {
        co_return;
    }
    auto headers = platform::endToEndHeaders(answer.headers());
    const bool open = co_await m_exchange.startStream(answer.status(), std::move(headers));
    m_isCallerGone = m_isCallerGone || !open;
}

attempt_failure request_session::rejectContinuation(const stream_event &event)
{
    m_context.metrics.recordSendOutcome("no_continuation");
    m_closedBecause = "no_continuation";
    m_context.log.write(log_line("continuation_rejected")
                            .add("request", m_head.attempt.str())
                            .add("server", m_lastServer)
                            .add("after", static_cast<std::int64_t>(m_position.lastId().value_or(-1)))
                            .add("event", static_cast<std::int64_t>(event.id.value_or(-1))));
    return makeFailure(verdict::ran);
}

void request_session::onAnswerGivenUp()
{
    if (m_closeConnection) {
        m_closeConnection();
    }
}

attempt_failure request_session::rejectLongAnswer(size_t bytes, verdict outcome)
{
    recordLongAnswer(m_context, m_head.attempt, m_lastServer, bytes);
    m_closedBecause = answerTooLong;
    return makeFailure(outcome);
}

asio::awaitable<std::optional<attempt_failure>> request_session::relayStream(http::response_stream &answer)
{
    m_position.beginAnswer();
    answer_budget::share held(m_context.answers, [this] {
        onAnswerGivenUp();
    });
    while (!m_isCallerGone) {
        auto bytes = co_await answer.read();
        if (held.isGivenUp()) {
            m_events.discardPartialEvent();
            co_return rejectLongAnswer(held.bytes(), verdict::may_have_run);
        }
        if (!bytes) {
            m_context.metrics.recordSendOutcome("stream_lost");
            co_return toFailure(bytes.error());
        }
        // The hedged send goes on after the last event that was delivered; what arrives now would come twice.
        if (answeredHedge()) {
            recordLateLoser(*answeredHedge());
            co_return makeFailure(verdict::may_have_run);
        }
        if (bytes->empty()) {
            break;
        }
        m_events.append(*bytes);
        std::string completeEvents;
        stream_position delivered = m_position;
        while (const auto event = m_events.next()) {
            if (!delivered.mayFollow(*event)) {
                co_return rejectContinuation(*event);
            }
            delivered.recordDelivered(*event);
            completeEvents += event->text;
        }
        const size_t bytesHeld = m_events.heldBytes() + completeEvents.capacity();
        if (m_events.isEventTooLong() || !held.resize(bytesHeld)) {
            m_events.discardPartialEvent();
            co_return rejectLongAnswer(bytesHeld, verdict::may_have_run);
        }
        if (completeEvents.empty()) {
            continue;
        }
        recordEvents(m_context.clock.now());
        co_await startStream(answer);
        const bool open = co_await m_exchange.write(completeEvents);
        m_isCallerGone = m_isCallerGone || !open;
        m_position = delivered;
        held.resize(m_events.heldBytes());
        watchStall(stallTimeout());
    }
    held.finish();
    // A server that ends before its first event closes the connection as one without anything to say would.
    const bool endedBeforeFirstEvent = !m_firstEventOfSendAt && answer.endsWithConnection();
    const bool isComplete = !m_isCallerGone && !m_events.hasPartialEvent() && !endedBeforeFirstEvent;
    if (!isComplete) {
        attempt_failure failure = makeFailure(verdict::ran);
        failure.isCutOff = !m_isCallerGone;
        co_return failure;
    }
    // The end of a connection is no proof that the server lives on.
    if (!answer.endsWithConnection()) {
        m_context.state.quarantine.recordWritten(m_parts, m_context.clock.now());
    }
    m_context.metrics.recordSendOutcome("served");
    recordStreamLength();
    if (m_exchange.hasStarted()) {
        co_await m_exchange.finishStream();
        co_return std::nullopt;
    }
    // The status may be one that has no body, not even a last chunk.
    http::response_message withoutEvents{ answer.status(), platform::endToEndHeaders(answer.headers()), {} };
    co_await m_exchange.respond(std::move(withoutEvents));
    co_return std::nullopt;
}

void request_session::recordEvents(time_point now)
{
    if (!m_firstEventAt) {
        m_firstEventAt = now;
        m_context.metrics.recordFirstEvent(m_route->name, now - m_arrivedAt);
    } else {
        m_longestGap = std::max(m_longestGap, duration_cast<milliseconds>(now - m_lastEventAt));
    }
    m_lastEventAt = now;
    if (m_reservations) {
        m_reservations->recordUse();
    }
    if (!m_firstEventOfSendAt) {
        recordLatency(now);
    }
    recordFirstEventOfSend(now);
    m_firstEventOfSendAt = m_firstEventOfSendAt.value_or(now);
    if (isAnswerEstablished(now)) {
        m_context.state.quarantine.recordWritten(m_parts, now);
    }
    m_context.state.serverSuspicion.recordBytes(m_currentServer, now);
    stopWatchingStall(); // Until the caller has taken the events: its slowness is not the server's silence.
    dropHedges("first_server_went_on");
    if (m_context.state.loads.recordFirstToken(m_workId)) {
        m_context.scheduleReport();
    }
}

asio::awaitable<std::optional<attempt_failure>> request_session::relayCompleteAnswer(
    http::response_stream &answer, const platform::response_head &head)
{
    http::response_message message{ answer.status(), platform::endToEndHeaders(answer.headers()), {} };
    const verdict lost = head.outcome == verdict::not_run ? verdict::not_run : verdict::may_have_run;
    auto held = std::make_unique<answer_budget::share>(m_context.answers, [this] {
        onAnswerGivenUp();
    });
    while (true) {
        auto bytes = co_await answer.read();
        if (held->isGivenUp() || message.body.size() > maxAnswerBytes) {
            co_return rejectLongAnswer(message.body.size(), lost);
        }
        if (!bytes) {
            m_context.metrics.recordSendOutcome("answer_lost");
            attempt_failure failure = makeFailure(lost);
            failure.detail = toFailure(bytes.error()).detail;
            failure.isByRelay = m_closedBecause.empty() && bytes.error().code == error_code::peer_connection_lost;
            failure.isCutOff = failure.outcome != verdict::not_run && !failure.isByRelay;
            co_return failure;
        }
        if (bytes->empty()) {
            break;
        }
        message.body += *bytes;
        if (!held->resize(message.body.capacity())) {
            co_return rejectLongAnswer(message.body.size(), lost);
        }
    }
    if (!held->finish()) {
        co_return rejectLongAnswer(message.body.size(), lost);
    }
    m_faultyServer = head.faultyServer;
    if (head.isSuccess && !m_exchange.hasStarted()) {
        recordLatency(m_context.clock.now());
        dropHedges("first_server_answered");
        if (!answer.endsWithConnection()) {
            m_context.state.quarantine.recordWritten(m_parts, m_context.clock.now());
        }
        m_context.metrics.recordSendOutcome("served");
        co_await m_exchange.respond(std::move(message));
        co_return std::nullopt;
    }
    m_context.metrics.recordSendOutcome("status_" + std::to_string(message.status));
    attempt_failure failure = makeFailure(head.outcome);
    const bool isFailure = message.status >= 300 && !platform::promisesNotRun(message.status);
    if (head.outcome == verdict::ran && isFailure) {
        failure.hasAnswer = true;
        m_serverFailure = std::move(message);
        m_heldFailure = std::move(held);
    }
    co_return failure;
}

} // namespace mustardtrail::gateway
