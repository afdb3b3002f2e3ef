// Connections that were reset on the way were taken for crashes of the servers, and sound prompts were refused at all instances.

#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

#include <sstream>
#include <string>
#include <vector>

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
bool areQuestionsLost = false;

/// Tells its report at any time, as it never ends; the first connections with a prompt are lost while the answer begins.
boost::asio::awaitable<void> loseConnectionsAtFirst(http::exchange &exchange)
{
    if (fake_platform::isQuestion(exchange)) {
        ++reportsAsked;
        if (areQuestionsLost) {
            co_return;
        }
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

using http::testing::raw_connection;

constexpr int warmUpCalls = 6;
const std::string whole = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: stamp\r\nContent-Length: 5\r\n\r\nwhole";
const std::string streamHead = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string lastEvent = "id: 3\ndata: c\n\n";

int lost = 0; ///< Requests that were answered by a reset.
bool areConnectionsLost = false; ///< All that were open are: the next request on each is answered by a reset.

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

std::string answerTo(const raw_connection &connection)
{
    if (connection.request().find("/stream/") == std::string::npos) {
        return whole;
    }
    const bool isContinuation = connection.request().find("Last-Event-Id: 2\r\n") != std::string::npos;
    return streamHead + chunk(isContinuation ? lastEvent : firstEvents + lastEvent) + "0\r\n\r\n";
}

/// Serves the requests on a connection until all open ones are lost.
boost::asio::awaitable<void> serveUntilLost(raw_connection &connection)
{
    const bool isOpenedLater = areConnectionsLost;
    bool isOpen = true;
    while (isOpen && (isOpenedLater || !areConnectionsLost)) {
        co_await connection.send(answerTo(connection));
        isOpen = co_await connection.readRequest();
    }
    const bool isBegun
        = connection.request().find("/stream/") != std::string::npos && connection.request().find("Last-Event-Id") == std::string::npos;
    if (isOpen && isBegun) {
        co_await connection.send(streamHead + chunk(firstEvents));
        co_await connection.pause(milliseconds(20));
    }
    lost += isOpen ? 1 : 0;
    connection.reset();
}

/// Answers that a caller gets to the path once all open connections to the servers have been lost.
caller_answer answerAfterALoss(const std::string &service, const std::string &path)
{
    fake_platform platform;
    for (const std::string id : { "i-1", "i-2", "i-3" }) {
        platform.addRawServer(id, service, serveUntilLost);
    }
    platform.start();
    std::vector<raw_caller> callers;
    for (int count = 0; count < warmUpCalls; ++count) {
        callers.push_back(platform.openCaller("POST " + path
            + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 4000\r\nAuthorization: Token secret\r\nContent-Length: "
              "0\r\n\r\n"));
    }
    platform.runFor(milliseconds(300));
    areConnectionsLost = true;
    caller_answer answer = platform.call(path);
    cr_assert_gt(lost, 0);
    return answer;
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

// Three questions within a second found the paths lost, and the prompts were held back until their trial.
Test(lost_connections, aServerThatWasNotReachedIsAskedAgainUntilItIsHeard)
{
    fake_platform platform;
    addServers(platform);
    platform.start();
    areQuestionsLost = true;
    connectionsToLose = 6;
    for (int request = 0; request < lostConnections; ++request) {
        callWithSharedPart(platform, request);
    }
    expectEqual(callWithSharedPart(platform, lostConnections).status, 503);
    platform.runFor(milliseconds(1'600));
    areQuestionsLost = false;
    platform.runFor(milliseconds(2'500));
    expectEqual(callWithSharedPart(platform, lostConnections + 1).status, 200);
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

// The second send went over another connection that was lost in the same moment, and its right was spent.
Test(lost_connections, aStreamGoesOnOverAConnectionOpenedAfterTheLoss)
{
    const caller_answer answer = answerAfterALoss("reading", "/stream/x");
    expectEqual(answer.body, firstEvents + lastEvent);
    cr_assert(answer.isComplete);
}

Test(lost_connections, aRepeatableRequestIsSentAgainOverAConnectionOpenedAfterTheLoss)
{
    const caller_answer answer = answerAfterALoss("desk", "/again/x");
    expectEqual(answer.status, 200);
    expectEqual(answer.body, "whole");
}

Test(lost_connections, aRequestThatMayRunOnceIsNotSentAgain)
{
    expectEqual(answerAfterALoss("desk", "/once/x").status, 502);
}
