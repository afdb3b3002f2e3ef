#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds answerTime{ 200 };

void addSoundServer(fake_platform &platform)
{
    platform.addServer("i-1", "desk", [](http::exchange &exchange) -> boost::asio::awaitable<void> {
        co_await exchange.respond(http::makeResponse(200, "whole", "text/plain"));
    });
}

} // namespace

// A request that could not be read was answered and left no trace.
Test(unread_request, isCounted)
{
    fake_platform platform;
    addSoundServer(platform);
    platform.start();
    const raw_caller caller = platform.openCaller("no request\r\n\r\n");
    platform.runFor(answerTime);
    expectEqual(caller.onlyAnswer().substr(0, 3), "400");
    cr_assert_neq(platform.metrics().find("refusals_total{reason=\"unread\"} 1"), std::string::npos);
}

// Bodies sent to the address of the readiness probe were read up to 512 MiB.
Test(unread_request, aBodyAtTheAddressOfTheReadinessProbeIsNotRead)
{
    fake_platform platform;
    addSoundServer(platform);
    platform.start();
    const raw_caller caller(
        platform.executor(), platform.readinessAddress(), "POST /api/readyz HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
    platform.runFor(answerTime);
    expectEqual(caller.onlyAnswer().substr(0, 3), "413");
}
