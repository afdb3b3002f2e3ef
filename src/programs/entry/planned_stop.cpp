#include "programs/entry/planned_stop.h"

#include "host/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace mustardtrail::entry
{

namespace asio = boost::asio;

namespace
{
constexpr std::chrono::milliseconds checkInterval{ 20 };
constexpr std::chrono::milliseconds lastBytes{ 200 }; ///< For answers that are finished but still on their way out.
} // namespace

planned_stop::planned_stop(asio::io_context &context, entry_host &host, http::server &callers, http::server &peers)
    : m_context(context)
    , m_host(host)
    , m_callers(callers)
    , m_peers(peers)
    , m_signals(host.strand(), SIGTERM, SIGINT)
{
}

void planned_stop::arm()
{
    m_signals.async_wait([this](boost::system::error_code failure, int) {
        if (!failure) {
            onSignal();
            arm();
        }
    });
}

void planned_stop::onSignal()
{
    host::log(host::log_level::info,
        log_line(m_begun ? "stop_continues" : "stop_begins").add("running", static_cast<std::int64_t>(m_host.runningRequests())));
    if (!m_begun) {
        m_begun = true;
        asio::co_spawn(m_host.strand(), run(), asio::detached);
    }
}

// The balancer may send new requests until it has seen that the instance is not ready; they are served like any other.
asio::awaitable<void> planned_stop::run()
{
    asio::steady_timer timer(m_host.strand());
    boost::system::error_code ignored;
    m_host.markNotReady();
    timer.expires_after(m_host.settings().balancerLag);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_host.beginStop();
    m_callers.stop();
    while (m_host.runningRequests() > 0) {
        timer.expires_after(checkInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_host.endStop();
    timer.expires_after(lastBytes);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_peers.stop();
    m_context.stop();
}

} // namespace mustardtrail::entry
