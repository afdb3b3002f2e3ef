// A server answered 503 to a request that may run once, without the field that says that it has not run. The caller was told 503,
// which promises just that, and might have sent it again.

#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using mustardtrail::testing::expectEqual;

namespace
{

http::testing::raw_server::script answersWith(std::string status)
{
    return [status = std::move(status)](raw_connection &connection) -> boost::asio::awaitable<void> {
        co_await connection.send("HTTP/1.1 " + status + "\r\nConnection: close\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n");
    };
}

int statusFor(const std::string &status, const std::string &path)
{
    fake_platform platform;
    platform.addRawServer("i-1", "desk", answersWith(status));
    platform.start();
    return platform.call(path).status;
}

} // namespace

Test(unfounded_promise, isNotPassedOn)
{
    for (const std::string status : { "408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable" }) {
        expectEqual(statusFor(status, "/once/x"), 502);
        expectEqual(statusFor(status, "/again/x"), 502);
    }
}

Test(unfounded_promise, otherFailuresArePassedOnUnchanged)
{
    expectEqual(statusFor("500 Internal Server Error", "/once/x"), 500);
    expectEqual(statusFor("504 Gateway Timeout", "/once/x"), 504);
    expectEqual(statusFor("404 Not Found", "/once/x"), 404);
}
