// The beginning of an earlier refusal, sent before the answer to a request that ran, was taken for that answer: the request ran at a
// second server, or its caller was told that it had not run.

#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using mustardtrail::testing::expectEqual;

namespace
{

const std::string served = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: stamp\r\nContent-Length: 5\r\n\r\nwhole";
const std::string cutRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nKeep-Alive: tim";

// Criterion runs each test in its own process, so these counters start at zero in each test.
int runs = 0;
int connections = 0;

/// Runs each request; the first answer on a connection is whole, each other one follows the beginning of a refusal.
boost::asio::awaitable<void> serveFaultily(raw_connection &connection)
{
    std::string answer = served;
    bool isOpen = true;
    ++connections;
    while (isOpen) {
        ++runs;
        co_await connection.send(answer);
        answer = cutRefusal + served;
        isOpen = co_await connection.readRequest();
    }
}

} // namespace

Test(joined_heads, doNotLetARequestRunAtASecondServer)
{
    fake_platform platform;
    platform.addRawServer("i-1", "desk", serveFaultily);
    platform.addRawServer("i-2", "desk", serveFaultily);
    platform.start();
    for (int call = 1; call <= 10; ++call) {
        cr_assert_neq(platform.call("/once/x").status, 503);
        expectEqual(runs, call);
    }
    cr_assert(connections < 10);
}

Test(joined_heads, doNotRefuseARelayedRequestThatRuns)
{
    fake_platform platform;
    platform.addRawServer("i-1", "desk", serveFaultily);
    platform.start();
    platform.startSecondInstance();
    platform.cutFirstInstanceFromServers();
    expectEqual(platform.call("/once/x").status, 200);
    expectEqual(platform.call("/once/x").status, 502);
    expectEqual(runs, 2);
    expectEqual(connections, 1);
}
