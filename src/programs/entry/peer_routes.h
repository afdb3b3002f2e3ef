#pragma once

#include "http/exchange.h"
#include "programs/entry/entry_host.h"

namespace mustardtrail::entry
{

/// Port for other instances: forwarded attempts and JSON-RPC.
class peer_routes
{
public:
    explicit peer_routes(entry_host &host);

    boost::asio::awaitable<void> serve(http::exchange &exchange);

private:
    boost::asio::awaitable<void> serveHop(http::exchange &exchange);
    boost::asio::awaitable<void> serveRpc(http::exchange &exchange);

    entry_host &m_host;
};

} // namespace mustardtrail::entry
