// Connections to servers that had been replaced were kept for good, until no caller could be accepted any more.

#include "http/client.h"
#include "http/tests/raw_server.h"

#include "testing/expect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <sys/syscall.h>
#include <unistd.h>

#include <array>
#include <ctime>
#include <vector>

using namespace mustardtrail;
using namespace mustardtrail::http;
using mustardtrail::http::testing::raw_connection;
using mustardtrail::http::testing::raw_server;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

time_t suspendedSeconds = 0; ///< How far CLOCK_BOOTTIME is ahead of the other clocks.

constexpr milliseconds shortWait{ 50 };
constexpr milliseconds untilIdleLimit{ 600 }; ///< Half of the servers' time-out is 500 ms.

raw_server::script answersAndCloses()
{
    return [](raw_connection &connection) -> boost::asio::awaitable<void> {
        co_await connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    };
}

raw_server::script answersAndWaits(bool &isClosed)
{
    return [&isClosed](raw_connection &connection) -> boost::asio::awaitable<void> {
        co_await connection.send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok");
        co_await connection.waitUntilClosed();
        isClosed = true;
    };
}

boost::asio::awaitable<void> pause(boost::asio::io_context &context, milliseconds time)
{
    boost::asio::steady_timer timer(context, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

/// Calls the server once, waits and closes what is of no use. Returns the connections that are kept then.
size_t keptAfter(milliseconds wait, raw_server::script serve, time_t suspension = 0)
{
    boost::asio::io_context context;
    const raw_server server(context.get_executor(), std::move(serve));
    client caller(context.get_executor());
    const auto callOnce = [&]() -> boost::asio::awaitable<void> {
        const auto answer = co_await caller.call(server.address(), request_message(), call_limits::within(milliseconds(3'000)));
        cr_assert(answer.has_value());
        expectEqual(caller.idleConnections(), 1U);
        co_await pause(context, wait);
        suspendedSeconds = suspension;
        caller.closeUnusable();
        co_await pause(context, shortWait); // For the server to see it.
    };
    boost::asio::co_spawn(context, callOnce(), [&context](std::exception_ptr) {
        context.stop();
    });
    context.run();
    return caller.idleConnections();
}

using three_servers = std::array<raw_server, 3>;

/// Calls each server once, and looks at one connection after the other. Tells how many are kept before each turn and at the end.
boost::asio::awaitable<void> callEach(
    boost::asio::io_context &context, client &caller, const three_servers &servers, std::vector<size_t> &kept)
{
    for (size_t each = 0; each < servers.size(); ++each) {
        const auto answer = co_await caller.call(servers[each].address(), request_message(), call_limits::within(milliseconds(3'000)));
        cr_assert(answer.has_value());
    }
    co_await pause(context, shortWait);
    for (size_t turn = 0; turn <= servers.size(); ++turn) {
        kept.push_back(caller.idleConnections());
        caller.closeUnusable(1);
    }
}

} // namespace

// Replaces the function of the C library in this program.
extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
    if (result == 0 && clock == CLOCK_BOOTTIME) {
        time->tv_sec += suspendedSeconds;
    }
    return result;
}

Test(idle_connections, areClosedWhenTheServerHasClosed)
{
    expectEqual(keptAfter(shortWait, answersAndCloses()), 0U);
}

Test(idle_connections, areClosedWhenTheirTimeIsOver)
{
    bool isClosed = false;
    expectEqual(keptAfter(untilIdleLimit, answersAndWaits(isClosed)), 0U);
    cr_assert(isClosed);
}

Test(idle_connections, areKeptWhileTheyAreOfUse)
{
    bool isClosed = false;
    expectEqual(keptAfter(shortWait, answersAndWaits(isClosed)), 1U);
    cr_assert_not(isClosed);
}

// Thousands in one go would hold up all other work of the instance.
Test(idle_connections, areLookedAtInTurns)
{
    boost::asio::io_context context;
    const auto executor = context.get_executor();
    const three_servers servers{
        raw_server(executor, answersAndCloses()), raw_server(executor, answersAndCloses()), raw_server(executor, answersAndCloses())
    };
    client caller(executor);
    std::vector<size_t> kept;
    boost::asio::co_spawn(context, callEach(context, caller, servers, kept), [&context](std::exception_ptr) {
        context.stop();
    });
    context.run();
    const std::vector<size_t> expected{ 3, 2, 1, 0 };
    cr_assert(kept == expected);
}

// The server counts the time for which the machine of the client was suspended.
Test(idle_connections, areClosedWhenTheirTimeWasOverWhileTheMachineWasSuspended)
{
    bool isClosed = false;
    expectEqual(keptAfter(shortWait, answersAndWaits(isClosed), 1), 0U);
    cr_assert(isClosed);
}
