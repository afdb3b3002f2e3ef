#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

const std::string ownId = "Attempt-Id: a1\r\n";
const std::string served = "HTTP/1.1 200 OK\r\n" + ownId + "Response-Stamp: stamp\r\nContent-Length: 5\r\n\r\nwhole";
const std::string refusalHead = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n";
const std::string refusalWithoutId = refusalHead + "\r\n";

// Criterion runs each test in its own process, so these counters start at zero in each test.
int runs = 0;
int connections = 0;

/// Runs each request. The first on a connection is answered, each other one by these bytes alone.
http::testing::raw_server::script repeatOnKeptConnections(std::string bytes)
{
    return [bytes = std::move(bytes)](raw_connection &connection) -> boost::asio::awaitable<void> {
        std::string answer = served;
        bool isOpen = true;
        ++connections;
        while (isOpen) {
            ++runs;
            co_await connection.send(answer);
            answer = bytes;
            isOpen = co_await connection.readRequest();
        }
    };
}

boost::asio::awaitable<void> repeatBetweenRequests(raw_connection &connection)
{
    ++connections;
    ++runs;
    co_await connection.send(served);
    co_await connection.pause(milliseconds(5));
    co_await connection.send(refusalWithoutId);
    co_await connection.waitUntilClosed();
}

// Refuses the first two sends and breaks off the others; a send on a kept connection gets the refusal once more and runs.
boost::asio::awaitable<void> refuseTwice(raw_connection &connection)
{
    if (++connections > 2) {
        ++runs;
        co_return;
    }
    bool isOpen = true;
    while (isOpen) {
        co_await connection.send(refusalHead + ownId + "\r\n");
        isOpen = co_await connection.readRequest();
        runs += isOpen ? 1 : 0;
    }
}

} // namespace

Test(repeated_refusal, withoutAnIdDoesNotRefuseARequestThatRuns)
{
    fake_platform platform;
    platform.addRawServer("i-1", "desk", repeatOnKeptConnections(refusalWithoutId));
    platform.start();
    expectEqual(platform.call("/once/x").status, 200);
    expectEqual(platform.call("/once/x").status, 502);
    expectEqual(connections, 1);
    expectEqual(platform.call("/once/x").status, 200);
    expectEqual(connections, 2);
}

Test(repeated_refusal, withoutAnIdDoesNotLetARequestRunAtASecondServer)
{
    fake_platform platform;
    platform.addRawServer("i-1", "desk", repeatOnKeptConnections(refusalWithoutId));
    platform.addRawServer("i-2", "desk", repeatOnKeptConnections(refusalWithoutId));
    platform.start();
    for (int call = 1; call <= 10; ++call) {
        cr_assert_neq(platform.call("/once/x").status, 503);
        expectEqual(runs, call);
    }
    cr_assert(connections < 10);
}

Test(repeated_refusal, withoutAnIdDoesNotRefuseARelayedRequestThatRuns)
{
    fake_platform platform;
    platform.addRawServer("i-1", "desk", repeatOnKeptConnections(refusalWithoutId));
    platform.start();
    platform.startSecondInstance();
    platform.cutFirstInstanceFromServers();
    expectEqual(platform.call("/once/x").status, 200);
    expectEqual(platform.call("/once/x").status, 502);
    expectEqual(runs, 2);
    expectEqual(connections, 1);
}

Test(repeated_refusal, betweenTwoRequestsIsDroppedWithItsConnection)
{
    fake_platform platform;
    platform.addRawServer("i-1", "desk", repeatBetweenRequests);
    platform.start();
    for (int call = 1; call <= 5; ++call) {
        expectEqual(platform.call("/once/x").status, 200);
        platform.runFor(milliseconds(30));
        expectEqual(runs, call);
    }
    expectEqual(connections, 5);
}

Test(repeated_refusal, ofTheSameAttemptDoesNotLetItRunAtMoreServersThanAllowed)
{
    fake_platform platform;
    for (int number = 1; number <= 3; ++number) {
        platform.addRawServer("i-" + std::to_string(number), "desk", refuseTwice);
    }
    platform.start();
    expectEqual(platform.call("/again/x").status, 502);
    expectEqual(runs, 2);
}

Test(repeated_refusal, ofAnotherRequestDoesNotKeepRequestsAwayFromItsServer)
{
    fake_platform platform;
    platform.addRawServer(
        "i-1", "desk", repeatOnKeptConnections(refusalHead + "Attempt-Id: other\r\nRetry-After: 5\r\nServer-Leaving: 1\r\n\r\n"));
    platform.start();
    expectEqual(platform.call("/once/x").status, 200);
    expectEqual(platform.call("/once/x").status, 502);
    expectEqual(platform.call("/once/x").status, 200);
}
