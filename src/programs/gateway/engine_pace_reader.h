#pragma once

#include "programs/gateway/gateway_context.h"

#include <boost/asio/any_io_executor.hpp>

namespace mustardtrail::gateway
{

/// Asks engines for their pace when their first events come late, since such engines may be slow or only full.
class engine_pace_reader
{
public:
    engine_pace_reader(boost::asio::any_io_executor executor, gateway_context &context);

    /// Asks the engine for its report, at most once in `interval` for each start; the answer goes to the fleet state.
    void readPace(server_key server, const attempt_id &attempt);

    /// An engine's report is some hundred ms old; each call is priced.
    static constexpr std::chrono::milliseconds interval{ 1'000 };

private:
    boost::asio::awaitable<void> ask(server_key server, server_start_key start, backend_server_id id, endpoint address, attempt_id attempt);

    boost::asio::any_io_executor m_executor;
    gateway_context &m_context;
    std::map<server_start_key, time_point> m_askedAt;
};

} // namespace mustardtrail::gateway
