#include "programs/entry/admin_routes.h"

#include "host/partition_control.h"
#include "http/status.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>

namespace mustardtrail::entry
{

namespace asio = boost::asio;

namespace
{

asio::awaitable<boost::json::object> nodeStateOnStrand(entry_host &host)
{
    co_return host.nodeState();
}

asio::awaitable<boost::json::object> dumpOnStrand(entry_host &host)
{
    co_return host.dump();
}

asio::awaitable<http::response_message> cutOffOnStrand(entry_host &host, std::string body)
{
    co_return mustardtrail::host::applyPartition(host.httpClient(), body);
}

} // namespace

admin_routes::admin_routes(entry_host &host, entry_metrics &metrics)
    : m_host(host)
    , m_metrics(metrics)
{
}

bool admin_routes::isReady() const
{
    const auto view = m_host.view();
    return !m_host.isStopping() && !view->selfLeaving && view->config != nullptr && view->config->revision > 0;
}

asio::awaitable<void> admin_routes::serve(http::exchange &exchange)
{
    const std::string path(exchange.request().path());
    if (path == "/metrics") {
        const auto view = m_host.view();
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_host.clock().now() - view->confirmedAt);
        const boost::json::object state = co_await asio::co_spawn(m_host.strand(), nodeStateOnStrand(m_host), asio::use_awaitable);
        m_metrics.setState(state);
        m_metrics.setConfiguration(view->config ? view->config->revision : 0, age);
        co_await exchange.respond(http::makeResponse(http::statusOk, m_metrics.text(), "text/plain; version=0.0.4"));
    } else if (path == "/healthz") {
        co_await exchange.respond(http::makeResponse(http::statusOk, "ok\n", "text/plain"));
    } else if (path == "/readyz") {
        const bool ready = isReady();
        co_await exchange.respond(
            http::makeResponse(ready ? http::statusOk : http::statusUnavailable, ready ? "ready\n" : "not_ready\n", "text/plain"));
    } else if (path == "/dump") {
        const boost::json::object dump = co_await asio::co_spawn(m_host.strand(), dumpOnStrand(m_host), asio::use_awaitable);
        co_await exchange.respond(http::makeResponse(http::statusOk, boost::json::serialize(dump), "application/json"));
    } else if (path == host::partitionPath && exchange.request().method == "POST") {
        const std::string body = *exchange.request().body;
        http::response_message answer = co_await asio::co_spawn(m_host.strand(), cutOffOnStrand(m_host, body), asio::use_awaitable);
        co_await exchange.respond(std::move(answer));
    } else {
        co_await exchange.respond(http::makeResponse(http::statusNotFound, "not_found\n", "text/plain"));
    }
}

} // namespace mustardtrail::entry
