#pragma once

#include "http/exchange.h"
#include "programs/entry/entry_host.h"

namespace mustardtrail::entry
{

/// Port for operators and the balancer: /metrics, /healthz, /readyz, /dump.
class admin_routes
{
public:
    admin_routes(entry_host &host, entry_metrics &metrics);

    boost::asio::awaitable<void> serve(http::exchange &exchange);

private:
    bool isReady() const;

    entry_host &m_host;
    entry_metrics &m_metrics;
};

} // namespace mustardtrail::entry
