#include "programs/gateway/engine_pace_reader.h"

#include "platform/engine_report.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds callTimeout{ 500 }; ///< Several passes of an engine; a report needs no slot.

} // namespace

engine_pace_reader::engine_pace_reader(asio::any_io_executor executor, gateway_context &context)
    : m_executor(std::move(executor))
    , m_context(context)
{
}

void engine_pace_reader::readPace(server_key server, const attempt_id &attempt)
{
    const auto *known = m_context.state.findServer(server);
    if (!known) {
        return;
    }
    const time_point now = m_context.clock.now();
    std::erase_if(m_askedAt, [now](const auto &each) {
        return now - each.second >= interval;
    });
    const server_start_key start = startKeyOf(known->entry);
    if (!m_askedAt.emplace(start, now).second) {
        return;
    }
    asio::co_spawn(m_executor, ask(server, start, known->entry.id, known->entry.address, attempt), asio::detached);
}

asio::awaitable<void> engine_pace_reader::ask(
    server_key server, server_start_key start, backend_server_id id, endpoint address, attempt_id attempt)
{
    auto message = platform::engineReportRequest(id);
    const auto answer = co_await m_context.servers.call(address, std::move(message), http::call_limits::within(callTimeout), attempt);
    const auto pace = answer ? platform::readPace(*answer) : std::nullopt;
    m_context.log.write(log_line("engine_asked_for_pace")
                            .add("request", attempt.str())
                            .add("server", id.str())
                            .add("status", answer ? answer->status : 0)
                            .add("pace", pace ? std::to_string(*pace) : "unknown"));
    if (pace) {
        m_context.state.recordPace(server, start, *pace, m_context.clock.now());
    }
}

} // namespace mustardtrail::gateway
