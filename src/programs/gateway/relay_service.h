#pragma once

#include "gateway/fleet_state.h"
#include "http/client.h"
#include "http/server.h"
#include "programs/gateway/rate_limited_log.h"

#include <functional>
#include <memory>
#include <set>

namespace mustardtrail::gateway
{

/// Passes requests of other instances on to backend servers that those cannot reach. Decides nothing about a request and never
/// relays through a third instance.
class relay_service
{
public:
    relay_service(
        boost::asio::any_io_executor executor, http::client &servers, const fleet_state &state, rate_limited_log &log, size_t maxBodyBytes);

    /// Returns the bound endpoint; port 0 selects a free port.
    result<endpoint> listen(const endpoint &address);
    /// From now on no request is passed on, and the others are told so; those that are being answered go on.
    void refuseRequests();
    /// Leaves the servers that are still answering; the senders see that this instance ended, and not the servers.
    void endRequests();
    /// Stops accepting connections.
    void stop();
    size_t running() const;

private:
    using closer = std::function<void()>; ///< Empty until the connection is open.

    boost::asio::awaitable<void> serve(http::exchange &exchange);
    boost::asio::awaitable<void> passOn(http::exchange &exchange, endpoint server, std::shared_ptr<closer> close);
    bool isServerLost(const error &problem) const;
    boost::asio::awaitable<void> passAnswerOn(http::exchange &exchange, http::response_stream &answer);
    http::call_limits limitsFor(http::exchange &exchange, std::shared_ptr<closer> close);

    http::client &m_client;
    const fleet_state &m_state;
    rate_limited_log &m_log;
    size_t m_running = 0;
    bool m_isStopping = false;
    bool m_isEnding = false;
    std::set<std::shared_ptr<closer>> m_closers; ///< Of the connections to servers that are in use.
    http::server m_server;
};

} // namespace mustardtrail::gateway
