#pragma once

#include "http/server.h"
#include "programs/entry/entry_host.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace mustardtrail::entry
{

/// Planned stop on SIGTERM or SIGINT: not ready, accept for the balancer's lag, finish what runs, leave.
/// A further signal logs how many requests remain and goes on.
class planned_stop
{
public:
    planned_stop(boost::asio::io_context &context, entry_host &host, http::server &callers, http::server &peers);

    void arm();

private:
    boost::asio::awaitable<void> run();
    void onSignal();

    boost::asio::io_context &m_context;
    entry_host &m_host;
    http::server &m_callers;
    http::server &m_peers;
    boost::asio::signal_set m_signals;
    bool m_begun = false;
};

} // namespace mustardtrail::entry
