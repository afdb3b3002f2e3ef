#pragma once

#include "gateway/server_inquiry.h"
#include "programs/gateway/gateway_context.h"

#include <boost/asio/any_io_executor.hpp>

#include <map>

namespace mustardtrail::gateway
{

/// Asks servers that seem to have crashed whether they still run. Guards against blaming a prompt for a crash when only the network
/// path to its server was lost.
class crash_verifier
{
public:
    crash_verifier(boost::asio::any_io_executor executor, gateway_context &context);

    /// Asks the server for its report, again while it is not known whether it runs, as `server_inquiry` decides. A report of this
    /// start refutes the crash in the fleet state. Servers that are no engines have no report, so that nothing is known of their crashes.
    void verify(server_key server, server_start_key start, const attempt_id &attempt);

private:
    boost::asio::awaitable<void> verifyNow(server_key server, server_start_key start, attempt_id attempt);
    boost::asio::awaitable<server_evidence> ask(server_key server, server_start_key start, time_point doubtedAt, attempt_id attempt);
    void log(const server_evidence &evidence, server_key server, const server_reply &reply, const attempt_id &attempt);

    boost::asio::any_io_executor m_executor;
    gateway_context &m_context;
    std::map<server_start_key, server_inquiry> m_inquiries; ///< Of starts that are being asked.
};

} // namespace mustardtrail::gateway
