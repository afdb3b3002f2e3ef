#include "programs/gateway/reservation_set.h"

#include "host/log.h"
#include "http/server.h"
#include "testing/expect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::testing::expectEqual;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr unsigned engineCount = 16;

http::response_message emptyAnswer(int status, int, std::string_view)
{
    http::response_message message;
    message.status = status;
    return message;
}

/// An engine that grants each reservation, and notes whether the lease ever ran out before its renewal.
struct leasing_engine {
    std::unique_ptr<http::server> server;
    endpoint address;
    time_point leaseEndsAt{};
    bool isSilent = false;
    bool hasLostLease = false;
};

/// One request's reservations at sixteen engines, on one event loop and loopback ports.
class reserving_request
{
public:
    reserving_request()
        : m_client(m_loop.get_executor())
        , m_log(m_clock)
        , m_state({}, data_centre_id("dc"), {}, [](std::string_view, std::string_view, std::string_view) {})
        , m_serverClient(m_loop.get_executor(), m_client, m_state, m_clock, m_log, 1, 0)
        , m_context{ m_state,
            m_client,
            m_serverClient,
            m_clock,
            m_random,
            m_log,
            m_metrics,
            milliseconds(1'000),
            {},
            {},
            {},
            {},
            {},
            {},
            {},
            false,
            {} }
        , m_engines(engineCount)
    {
        host::openLog(host::log_level::warning, "reservation_set_test");
        std::vector<reservation_set::share> shares;
        for (leasing_engine &each : m_engines) {
            listen(each);
            const server_key number = shares.size() + 1;
            shares.push_back({ number, backend_server_id("e-" + std::to_string(number)), each.address, 100 });
        }
        m_reservations = std::make_shared<reservation_set>(m_context, m_loop.get_executor(), 7, std::move(shares));
    }

    bool acquire()
    {
        bool isGranted = false;
        asio::co_spawn(m_loop, m_reservations->acquire(), [&isGranted](std::exception_ptr, bool granted) {
            isGranted = granted;
        });
        m_loop.run_for(milliseconds(500));
        return isGranted;
    }

    /// The first engines accept calls from now on and answer none.
    void silence(unsigned count)
    {
        for (unsigned number = 0; number < count; ++number) {
            m_engines[number].isSilent = true;
        }
    }

    void runFor(milliseconds time)
    {
        m_loop.run_for(time);
    }

    unsigned lostLeases()
    {
        unsigned lost = 0;
        for (leasing_engine &each : m_engines) {
            const bool isLost = each.hasLostLease || m_clock.now() >= each.leaseEndsAt;
            lost += isLost && !each.isSilent ? 1 : 0;
        }
        return lost;
    }

private:
    void listen(leasing_engine &engine)
    {
        engine.server = std::make_unique<http::server>(
            m_loop.get_executor(),
            http::server_limits(),
            [this, &engine](http::exchange &exchange) {
                return serve(engine, exchange);
            },
            emptyAnswer);
        engine.address = *engine.server->listen({ "127.0.0.1", 0 });
    }

    asio::awaitable<void> serve(leasing_engine &engine, http::exchange &exchange)
    {
        if (engine.isSilent) {
            asio::steady_timer never(exchange.executor(), seconds(60));
            co_await never.async_wait(asio::use_awaitable);
        }
        const time_point now = m_clock.now();
        engine.hasLostLease = engine.hasLostLease || (engine.leaseEndsAt != time_point() && now >= engine.leaseEndsAt);
        if (exchange.request().path() == "/api/order") { // A question renews nothing.
            engine.leaseEndsAt = now + reservation_limits().lease;
        }
        http::response_message answer;
        answer.status = 200;
        co_await exchange.respond(std::move(answer));
    }

    asio::io_context m_loop;
    system_monotonic_clock m_clock;
    random_source m_random{ 1 };
    http::client m_client;
    rate_limited_log m_log;
    gateway_metrics m_metrics;
    fleet_state m_state;
    server_client m_serverClient;
    gateway_context m_context;
    std::deque<leasing_engine> m_engines;
    std::shared_ptr<reservation_set> m_reservations;
};

} // namespace

Test(reservation_set, silentEnginesDoNotEndTheLeasesAtTheOthers)
{
    reserving_request request;
    cr_assert(request.acquire());
    request.silence(8);
    request.runFor(milliseconds(4'500));
    expectEqual(request.lostLeases(), 0U);
}

Test(reservation_set, theLeasesLastWhileAllEnginesAnswer)
{
    reserving_request request;
    cr_assert(request.acquire());
    request.runFor(milliseconds(4'500));
    expectEqual(request.lostLeases(), 0U);
}
