#include "programs/gateway/tests/send_bench.h"

#include "host/log.h"

namespace mustardtrail::gateway::testing
{

namespace
{

http::response_message emptyAnswer(int status, int, std::string_view)
{
    http::response_message message;
    message.status = status;
    return message;
}

void ignoreEvent(std::string_view, std::string_view, std::string_view)
{
}

} // namespace

send_bench::send_bench()
    : m_random(7)
    , m_log(m_clock)
    , m_state(1, data_centre_id("dc"), fleet_limits(), ignoreEvent)
    , m_client(m_loop.get_executor(), http::simulated_partitions::allowed)
    , m_serverClient(m_loop.get_executor(), m_client, m_state, m_clock, m_log, 1, 0)
    , m_context{ m_state,
        m_client,
        m_serverClient,
        m_clock,
        m_random,
        m_log,
        m_metrics,
        std::chrono::milliseconds(500),
        [] {},
        nullptr,
        nullptr,
        nullptr,
        nullptr,
        {},
        {},
        false,
        {} }
{
    host::openLog(host::log_level::warning, "gateway_test");
}

send_bench::~send_bench() = default;

endpoint send_bench::addServer(http::handler serve)
{
    http::server_limits limits;
    limits.headerBytes = 2 * caller_limits::maxHeaderBytes; // Takes whatever an instance passes on.
    m_servers.push_back(std::make_unique<http::server>(m_loop.get_executor(), limits, std::move(serve), emptyAnswer));
    return *m_servers.back()->listen({ "127.0.0.1", 0 });
}

void send_bench::runFor(std::chrono::milliseconds time)
{
    m_loop.restart();
    m_loop.run_for(time);
}

boost::asio::any_io_executor send_bench::executor()
{
    return m_loop.get_executor();
}

gateway_context &send_bench::context()
{
    return m_context;
}

http::client &send_bench::client()
{
    return m_client;
}

} // namespace mustardtrail::gateway::testing
