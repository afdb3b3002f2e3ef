#include "programs/gateway/gateway_host.h"

#include "platform/response_head.h"
#include "programs/gateway/placement_query.h"

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

asio::awaitable<void> gateway_host::serveReadiness(http::exchange &exchange)
{
    const bool ready = isReady();
    if (ready != m_wasReady) {
        m_wasReady = ready;
        m_log.write(log_line("readiness").add("ready", ready ? "yes" : "no").add("stopping", m_shared.isStopping ? "yes" : "no"));
    }
    auto answer = platform::localResponse(ready ? 200 : 503, ready ? "none" : "not_ready", std::nullopt);
    co_await exchange.respond(std::move(answer));
}

asio::awaitable<void> gateway_host::serveMetrics(http::exchange &exchange)
{
    if (exchange.request().path() == "/placement") {
        auto explained = answerPlacementQuery(m_state, m_shared.queue.size(), exchange.request(), m_clock.now());
        co_await exchange.respond(std::move(explained));
        co_return;
    }
    const auto confirmed = m_state.freshness.confirmedAt();
    const auto age = confirmed ? std::chrono::duration_cast<milliseconds>(m_clock.now() - *confirmed) : milliseconds(-1);
    m_metrics.setFleetView(
        m_state.routes ? m_state.routes->version() : 0, age, m_state.servers.size(), m_state.loads.peerCount(), m_log.dropped());
    m_metrics.setHeldAnswers(m_shared.answers.heldBytes());
    auto answer = http::makeResponse(200, m_metrics.text(), "text/plain; version=0.0.4");
    co_await exchange.respond(std::move(answer));
}

} // namespace mustardtrail::gateway
