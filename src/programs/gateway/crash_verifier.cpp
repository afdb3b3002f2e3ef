#include "programs/gateway/crash_verifier.h"

#include "platform/engine_report.h"
#include "programs/gateway/monotonic_timer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds callTimeout{ 500 }; ///< Several passes of an engine; a report needs no slot.

server_sign signOf(const server_reply &reply, std::uint64_t startedAt)
{
    if (reply.answer) {
        const bool isOther = platform::isReportOfOtherStart(*reply.answer, startedAt);
        const server_sign other = isOther ? server_sign::other_start : server_sign::no_report;
        return platform::isReportOfStart(*reply.answer, startedAt) ? server_sign::bytes : other;
    }
    if (reply.isRefused) {
        return server_sign::refused;
    }
    if (reply.answer.error().outcome == verdict::not_run) {
        return server_sign::nobody_answered;
    }
    return reply.answer.error().code == error_code::backend_timeout ? server_sign::silent : server_sign::reset;
}

} // namespace

crash_verifier::crash_verifier(asio::any_io_executor executor, gateway_context &context)
    : m_executor(std::move(executor))
    , m_context(context)
{
}

void crash_verifier::verify(server_key server, server_start_key start, const attempt_id &attempt)
{
    const time_point now = m_context.clock.now();
    const auto [inquiry, isNew] = m_inquiries.try_emplace(start, now);
    if (isNew) {
        asio::co_spawn(m_executor, verifyNow(server, start, attempt), asio::detached);
    } else {
        inquiry->second.recordDoubt(now);
    }
}

asio::awaitable<void> crash_verifier::verifyNow(server_key server, server_start_key start, attempt_id attempt)
{
    monotonic_timer timer(m_executor);
    server_inquiry &inquiry = m_inquiries.at(start);
    while (const auto askAt = inquiry.askAt()) {
        timer.expires_after(std::max(time_point::duration(0), *askAt - m_context.clock.now()));
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const server_evidence evidence = co_await ask(server, start, inquiry.doubtedAt(), attempt);
        inquiry.recordEvidence(evidence, m_context.clock.now());
        const server_life life = lifeShownBy(evidence);
        if (life == server_life::runs) {
            m_context.state.quarantine.recordRunning(start, evidence.at, m_context.clock.now());
        } else if (life == server_life::ended) {
            m_context.state.quarantine.recordEnded(start, m_context.clock.now());
        }
        if (life != server_life::unknown) {
            m_context.scheduleReport();
        }
    }
    m_inquiries.erase(start);
}

asio::awaitable<server_evidence> crash_verifier::ask(server_key server, server_start_key start, time_point doubtedAt, attempt_id attempt)
{
    server_evidence evidence;
    evidence.server = start;
    evidence.at = m_context.clock.now();
    server_reply reply{ tl::unexpected(error()), {}, false };
    const auto *known = m_context.state.findServer(server);
    if (!known || startKeyOf(known->entry) != start) {
        // A server may leave the list for other reasons than its end, such as a change of the configuration or a restored store.
        evidence.seen = known ? server_sign::other_start : server_sign::no_report;
        log(evidence, server, reply, attempt);
        co_return evidence;
    }
    const std::uint64_t startedAt = known->entry.startedAt;
    auto question = platform::engineReportRequest(known->entry.id);
    http::call_limits limits = http::call_limits::within(callTimeout);
    limits.freshConnection = true; // Those in the pool were most likely lost as well.
    auto hearers = m_context.state.loads.hearersOf(server, doubtedAt);
    reply = co_await m_context.servers.ask(known->entry.address, std::move(question), std::move(limits), attempt, std::move(hearers));
    evidence.relay = reply.relay;
    evidence.seen = signOf(reply, startedAt);
    if (evidence.seen == server_sign::refused) {
        evidence.relay.reset();
    }
    log(evidence, server, reply, attempt);
    co_return evidence;
}

void crash_verifier::log(const server_evidence &evidence, server_key server, const server_reply &reply, const attempt_id &attempt)
{
    const auto *known = m_context.state.findServer(server);
    m_context.log.write(log_line("crash_verified")
                            .add("request", attempt.str())
                            .add("server", known ? known->entry.id.str() : std::string("departed"))
                            .add("runs", toString(lifeShownBy(evidence)))
                            .add("seen", toString(evidence.seen))
                            .add("path", evidence.relay ? asio::ip::address_v4(*evidence.relay).to_string() : std::string("own"))
                            .add("status", reply.answer ? reply.answer->status : 0)
                            .add("error", reply.answer ? "" : reply.answer.error().detail));
}

} // namespace mustardtrail::gateway
