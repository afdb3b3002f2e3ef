#include "programs/gateway/request_session.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds deadlineMargin{ 50 }; ///< Fallback only: the session's own timer ends a call at the deadline.
constexpr milliseconds maxReuseIdle{ 1'000 }; ///< A server rarely closes a connection that has been idle for less than this.
constexpr milliseconds plainServiceTimeout{ 350 }; ///< Several times the usual processing time of a service that is not streamed.
constexpr milliseconds predictionMargin{ 500 }; ///< Prediction error: batch steps that take longer than reported.
constexpr milliseconds minStallTimeout{ 1'000 }; ///< Half of the shortest gap, 2 s, after which callers leave a stream.
constexpr double stallTimeoutFactor = 2.5; ///< Times the class's target gap between two events; after a longer gap the stream fails over.

} // namespace

// Engines that share a prefill wait for a lost engine until the engine stall time-out and then report that nothing has run.
milliseconds request_session::firstEventTimeout(const placement_decision &placed) const
{
    if (!m_route->isStream) {
        return plainServiceTimeout;
    }
    const auto predicted = duration_cast<milliseconds>(placed.predictedFirstEvent);
    if (m_policy.isCoordinated && placed.parts.size() == 1) {
        return 2 * predicted + predictionMargin; // This prediction includes the pass that runs at the arrival.
    }
    return placed.parts.size() > 1 ? 2 * predicted + m_context.engineStallTimeout + predictionMargin : 3 * predicted + predictionMargin;
}

milliseconds request_session::stallTimeout() const
{
    const auto stall = duration_cast<milliseconds>(m_route->eventGapTarget * stallTimeoutFactor);
    return m_route->isStream ? std::max(stall, minStallTimeout) : plainServiceTimeout;
}

http::call_limits request_session::limitsFor(time_point now)
{
    const auto left = std::max(duration_cast<milliseconds>(m_deadlineAt - now), milliseconds(1));
    http::call_limits limits;
    limits.connect = std::min(connectTimeout, left);
    limits.progress = left + deadlineMargin;
    limits.firstByte = left + deadlineMargin;
    limits.bodyBytes = maxAnswerBytes;
    if (m_route->retrySemantics == retry_semantics::once) {
        limits.maxIdleForReuse = maxReuseIdle;
    }
    limits.onConnection = [this, alive = m_alive](std::function<void()> close) {
        if (!*alive) {
            return;
        }
        m_closeConnection = std::move(close);
        if (m_isCallerGone || m_isDeadlinePassed || m_context.isEnding) {
            m_closeConnection();
        }
    };
    return limits;
}

http::request_message request_session::messageFor(
    const placement_decision &placed, const reservation_set *reservations, time_point now) const
{
    platform::forwarding_fields fields;
    fields.customer = m_customer;
    fields.timeLeft = std::max(duration_cast<milliseconds>(m_deadlineAt - now), milliseconds(1));
    for (const placed_part &part : placed.parts) {
        const auto *server = m_context.state.findServer(part.server);
        if (!server) {
            continue;
        }
        if (&part == &placed.parts.front()) {
            fields.expectedServer = server->entry.id;
        } else {
            const bool isReserved = reservations && part.memoryTokens > 0;
            fields.helpers.push_back({ server->entry.address, isReserved ? reservations->nameFor(part.server) : std::string() });
        }
    }
    fields.urgency = engineUrgency();
    if (m_position.hasDelivered()) {
        fields.lastEvent = m_position.lastId();
    }
    return platform::forwardedRequest(m_exchange.request(), fields);
}

std::uint64_t request_session::registerWork(const placement_decision &placed, time_point now)
{
    const std::uint64_t workId = 1 + m_context.random.below(~std::uint64_t{ 0 });
    for (const placed_part &part : placed.parts) {
        server_work work;
        work.request = workId;
        work.server = part.server;
        work.prefillTime = part.prefillTime;
        work.memoryTokens = part.memoryTokens;
        work.contextTokens = part.contextTokens;
        work.isSplitPrompt = placed.parts.size() > 1;
        work.isHelper = &part != &placed.parts.front();
        work.isLatencySensitive = m_route->isStream && m_route->eventGapTarget <= maxLatencySensitiveGap;
        if (m_policy.isCoordinated && !work.isHelper) {
            work.eventGapTarget = m_route->eventGapTarget;
        }
        work.sentAt = now;
        m_context.state.loads.add(work);
    }
    recordCustomerUse(placed, now);
    if (const auto *server = m_context.state.findServer(placed.parts.front().server)) {
        m_context.state.rateLimits.recordSend(startKeyOf(server->entry), now);
    }
    m_context.scheduleReport();
    return workId;
}

std::shared_ptr<reservation_set> request_session::makeReservations(const placement_decision &placed, std::uint64_t workId)
{
    std::vector<reservation_set::share> shares;
    for (const placed_part &part : placed.parts) {
        const auto *server = m_context.state.findServer(part.server);
        const bool isPrimary = &part == &placed.parts.front();
        if (server && !isPrimary && part.memoryTokens > 0) {
            shares.push_back({ part.server, server->entry.id, server->entry.address, part.memoryTokens });
        }
    }
    if (shares.empty()) {
        return nullptr;
    }
    return std::make_shared<reservation_set>(m_context, m_exchange.executor(), workId, std::move(shares), m_head.attempt);
}

asio::awaitable<bool> request_session::reserve(const placement_decision &placed)
{
    m_reservations = makeReservations(placed, m_workId);
    if (!m_reservations) {
        co_return true;
    }
    m_reservations->onGivenUp([this, alive = m_alive] {
        if (*alive) {
            onReservationGivenUp();
        }
    });
    const bool isGranted = co_await m_reservations->acquire();
    co_return isGranted;
}

} // namespace mustardtrail::gateway
