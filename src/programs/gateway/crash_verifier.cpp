#include "programs/gateway/crash_verifier.h"

#include "platform/engine_report.h"
#include "programs/gateway/monotonic_timer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds callTimeout{ 500 }; ///< Several passes of an engine; a report needs no slot.

} // namespace

crash_verifier::crash_verifier(asio::any_io_executor executor, gateway_context &context)
    : m_executor(std::move(executor))
    , m_context(context)
{
}

void crash_verifier::verify(server_key server, server_start_key start, const attempt_id &attempt)
{
    if (m_running.insert(start).second) {
        asio::co_spawn(m_executor, verifyNow(server, start, attempt), asio::detached);
    } else {
        m_lostAgain.insert(start);
    }
}

// An answer says nothing of a loss that came after the question.
asio::awaitable<void> crash_verifier::verifyNow(server_key server, server_start_key start, attempt_id attempt)
{
    monotonic_timer timer(m_executor);
    for (const milliseconds delay : delays) {
        timer.expires_after(delay);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_lostAgain.erase(start);
        const finding found = co_await ask(server, start, attempt);
        const bool isOpen = found == finding::unreached || (found == finding::runs && m_lostAgain.contains(start));
        if (!isOpen) {
            break;
        }
    }
    m_lostAgain.erase(start);
    m_running.erase(start);
}

asio::awaitable<crash_verifier::finding> crash_verifier::ask(server_key server, server_start_key start, attempt_id attempt)
{
    const auto *known = m_context.state.findServer(server);
    if (!known || startKeyOf(known->entry) != start) {
        co_return finding::other;
    }
    const backend_server_id id = known->entry.id;
    const std::uint64_t startedAt = known->entry.startedAt;
    const time_point askedAt = m_context.clock.now();
    auto question = platform::engineReportRequest(id);
    http::call_limits limits = http::call_limits::within(callTimeout);
    limits.freshConnection = true; // Those in the pool were most likely lost as well.
    const auto answer = co_await m_context.servers.call(known->entry.address, std::move(question), std::move(limits), attempt);
    auto found = answer ? finding::other : finding::unreached;
    if (answer && platform::isReportOfStart(*answer, startedAt)) {
        found = finding::runs;
        m_context.state.quarantine.recordRunning(start, askedAt, m_context.clock.now());
        m_context.scheduleReport();
    }
    m_context.log.write(log_line("crash_verified")
                            .add("request", attempt.str())
                            .add("server", id.str())
                            .add("runs", found == finding::runs ? "yes" : "no")
                            .add("status", answer ? answer->status : 0)
                            .add("error", answer ? "" : answer.error().detail));
    co_return found;
}

} // namespace mustardtrail::gateway
