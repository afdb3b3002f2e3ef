#include "programs/gateway/reservation_set.h"

#include "platform/reservation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds callTimeout{ 300 }; ///< A healthy engine answers these calls within milliseconds.
constexpr int maxReleaseAttempts = 4; ///< By the end of these attempts the lease is about to expire anyway.

} // namespace

reservation_set::reservation_set(gateway_context &context, asio::any_io_executor executor, std::uint64_t request, std::vector<share> shares)
    : m_context(context)
    , m_executor(std::move(executor))
    , m_request(request)
    , m_shares(std::move(shares))
{
}

std::string reservation_set::nameFor(server_key server) const
{
    return "mt" + std::to_string(m_request) + "-" + std::to_string(server);
}

asio::awaitable<bool> reservation_set::reserveAt(const share &target)
{
    const auto limits = http::call_limits::within(callTimeout);
    auto message = platform::reserveRequest(nameFor(target.server), target.tokens, leaseDuration);
    const auto answer = co_await m_context.client.call(target.address, std::move(message), limits);
    const int status = answer ? answer->status : 0;
    if (m_isReleased) {
        // The engine may have received the release first.
        asio::co_spawn(m_executor, releaseAt(target), asio::detached);
        co_return false;
    }
    if (status == 200) {
        co_return true;
    }
    m_context.log.write(log_line("reservation_refused")
                            .add("name", nameFor(target.server))
                            .add("server", target.id.str())
                            .add("tokens", target.tokens)
                            .add("status", status));
    co_return false;
}

asio::awaitable<bool> reservation_set::acquire()
{
    const auto self = shared_from_this();
    for (const share &each : m_shares) {
        const bool granted = co_await reserveAt(each);
        if (!granted) {
            release();
            co_return false;
        }
    }
    asio::co_spawn(m_executor, renew(), asio::detached);
    co_return true;
}

asio::awaitable<void> reservation_set::renew()
{
    const auto self = shared_from_this();
    asio::steady_timer timer(m_executor);
    while (true) {
        timer.expires_after(renewalInterval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (m_isReleased) {
            co_return;
        }
        // Beside each other: one after the other, silent engines would hold up the renewals at the rest until leases expire.
        for (const share &each : m_shares) {
            asio::co_spawn(m_executor, renewAt(each), asio::detached);
        }
    }
}

asio::awaitable<void> reservation_set::renewAt(share target)
{
    const auto self = shared_from_this();
    if (!m_isReleased) {
        co_await reserveAt(target);
    }
}

void reservation_set::release()
{
    if (m_isReleased) {
        return;
    }
    m_isReleased = true;
    for (const share &each : m_shares) {
        asio::co_spawn(m_executor, releaseAt(each), asio::detached);
    }
}

asio::awaitable<void> reservation_set::releaseAt(share target)
{
    const auto self = shared_from_this();
    asio::steady_timer timer(m_executor);
    for (int attempt = 0; attempt < maxReleaseAttempts; ++attempt) {
        const auto limits = http::call_limits::within(callTimeout);
        auto message = platform::releaseRequest(nameFor(target.server));
        const auto answer = co_await m_context.client.call(target.address, std::move(message), limits);
        if (answer) {
            co_return;
        }
        timer.expires_after(callTimeout);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_context.log.write(log_line("reservation_not_released").add("name", nameFor(target.server)).add("server", target.id.str()));
}

} // namespace mustardtrail::gateway
