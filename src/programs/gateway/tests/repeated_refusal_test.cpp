#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using mustardtrail::testing::expectEqual;

namespace
{

const std::string ownId = "Attempt-Id: a1\r\n";
const std::string served = "HTTP/1.1 200 OK\r\n" + ownId + "Response-Stamp: stamp\r\nContent-Length: 5\r\n\r\nwhole";
const std::string refusalHead = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n";

/// The first request on a connection is answered, each other one by these bytes alone.
http::testing::raw_server::script repeatOnKeptConnections(std::string bytes)
{
    return [bytes = std::move(bytes)](raw_connection &connection) -> boost::asio::awaitable<void> {
        std::string answer = served;
        bool isOpen = true;
        while (isOpen) {
            co_await connection.send(answer);
            answer = bytes;
            isOpen = co_await connection.readRequest();
        }
    };
}

} // namespace

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
