// Connections to servers that had been replaced were kept until all descriptors were in use and no caller was accepted any more.

#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

bool isClosed = false;

boost::asio::awaitable<void> serveOnce(raw_connection &connection)
{
    co_await connection.send(
        "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: stamp\r\nKeep-Alive: timeout=1\r\nContent-Length: 5\r\n\r\nwhole");
    co_await connection.waitUntilClosed();
    isClosed = true;
}

} // namespace

Test(replaced_server, idleConnectionToItIsClosed)
{
    fake_platform platform;
    platform.addRawServer("i-1", "desk", serveOnce);
    platform.start();
    expectEqual(platform.call("/once/x").status, 200);
    platform.runFor(milliseconds(2'000));
    cr_assert(isClosed);
}
