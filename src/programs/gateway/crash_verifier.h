#pragma once

#include "programs/gateway/gateway_context.h"

#include <boost/asio/any_io_executor.hpp>

#include <array>
#include <set>

namespace mustardtrail::gateway
{

/// Asks servers that seem to have crashed whether they still run. Guards against blaming a prompt for a crash when only the network
/// path to its server was lost.
class crash_verifier
{
public:
    crash_verifier(boost::asio::any_io_executor executor, gateway_context &context);

    /// Asks the server for its report, again a few times while it cannot be reached. A report of this start refutes the crash in the
    /// fleet state. Servers that are no engines have no report, so that nothing is known of their crashes.
    void verify(server_key server, server_start_key start, const attempt_id &attempt);

    /// Before each question; other instances that could pass one on may have lost their paths at the same moment.
    static constexpr std::array<std::chrono::milliseconds, 3> delays{
        std::chrono::milliseconds(0), std::chrono::milliseconds(300), std::chrono::milliseconds(1'000)
    };

private:
    enum class finding { runs, unreached, other };

    boost::asio::awaitable<void> verifyNow(server_key server, server_start_key start, attempt_id attempt);
    boost::asio::awaitable<finding> ask(server_key server, server_start_key start, attempt_id attempt);

    boost::asio::any_io_executor m_executor;
    gateway_context &m_context;
    std::set<server_start_key> m_running; ///< Starts that are being asked.
    std::set<server_start_key> m_lostAgain; ///< Of those, the ones to which a further connection was lost meanwhile.
};

} // namespace mustardtrail::gateway
