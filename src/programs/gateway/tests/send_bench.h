#pragma once

#include "http/server.h"
#include "programs/gateway/gateway_context.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace mustardtrail::gateway::testing
{

/// What a send needs of its instance, with backend servers on loopback ports, all on one event loop.
class send_bench
{
public:
    send_bench();
    ~send_bench();

    endpoint addServer(http::handler serve);
    void runFor(std::chrono::milliseconds time);
    boost::asio::any_io_executor executor();

    gateway_context &context();
    http::client &client();

private:
    boost::asio::io_context m_loop;
    system_monotonic_clock m_clock;
    random_source m_random;
    rate_limited_log m_log;
    gateway_metrics m_metrics;
    fleet_state m_state;
    http::client m_client;
    server_client m_serverClient;
    gateway_context m_context;
    std::vector<std::unique_ptr<http::server>> m_servers;
};

} // namespace mustardtrail::gateway::testing
