// Connections that were reset on the way were taken for crashes of the servers, and sound prompts were refused at all instances.

#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr int serverCount = 8;
constexpr int lostConnections = 24;

// Criterion runs each test in its own process, so these counters start at zero in each test.
int promptsReceived = 0;
int reportsAsked = 0;
int connectionsToLose = lostConnections;

/// Tells its report at any time, as it never ends; the first connections with a prompt are lost while the answer begins.
boost::asio::awaitable<void> loseConnectionsAtFirst(http::exchange &exchange)
{
    if (fake_platform::isQuestion(exchange)) {
        ++reportsAsked;
        co_await exchange.respond(http::makeResponse(200, R"({"stage":"both","seq":1,"running":0})", "application/json"));
        co_return;
    }
    const bool isLost = ++promptsReceived <= connectionsToLose;
    http::header_list head{ { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } };
    co_await exchange.startStream(200, std::move(head));
    if (isLost) {
        co_return;
    }
    co_await exchange.write("id: 1\ndata: a\n\n");
    co_await exchange.finishStream();
}

void addServers(fake_platform &platform)
{
    for (int number = 1; number <= serverCount; ++number) {
        platform.addServer("reading" + std::to_string(number), "reading", loseConnectionsAtFirst);
    }
}

caller_answer callWithSharedPart(fake_platform &platform, int request)
{
    return platform.callWithPrompt("/stream/x", "5c1e:40,own" + std::to_string(request) + ":100");
}

} // namespace

Test(lost_connections, soundPromptsAreNotHeldBackWhileTheirServersRun)
{
    fake_platform platform;
    addServers(platform);
    platform.start();
    for (int request = 0; promptsReceived < lostConnections && request < lostConnections; ++request) {
        const caller_answer got = callWithSharedPart(platform, request);
        cr_assert_neq(got.status, 503, "request %d was held back after %d prompts", request, promptsReceived);
    }
    platform.runFor(milliseconds(300));
    for (int request = 100; request < 110; ++request) {
        expectEqual(callWithSharedPart(platform, request).status, 200);
    }
    cr_assert_gt(reportsAsked, 0);
}

Test(lost_connections, anInstanceThatDidNotLoseThemHoldsNoPromptBackEither)
{
    fake_platform platform;
    addServers(platform);
    platform.start();
    platform.startSecondInstance();
    for (int request = 0; promptsReceived < lostConnections && request < lostConnections; ++request) {
        callWithSharedPart(platform, request);
    }
    platform.callSecondInstance();
    platform.runFor(milliseconds(500));
    for (int request = 100; request < 110; ++request) {
        expectEqual(callWithSharedPart(platform, request).status, 200);
    }
}
