#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds shortKeyRevocationLimit{ 1'000 };

// Criterion runs each test in its own process, so these counters start at zero in each test.
int servedRequests = 0;
int leavingServed = 0;
std::string receivedLastEventId;
std::string receivedCustomer;
std::string receivedKey;

http::header_list signedHeaders()
{
    return { { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } };
}

boost::asio::awaitable<void> echoBody(http::exchange &exchange)
{
    ++servedRequests;
    receivedCustomer = exchange.request().headers.find("Tenant");
    receivedKey = exchange.request().headers.find("Authorization");
    http::response_message answer{ 200, signedHeaders(), "echo " + *exchange.request().body };
    co_await exchange.respond(std::move(answer));
}

boost::asio::awaitable<void> refuseNotRun(http::exchange &exchange)
{
    http::response_message answer;
    answer.status = 503;
    answer.headers.add("Attempt-Id", "a1");
    answer.headers.add("Not-Run", "1");
    co_await exchange.respond(std::move(answer));
}

boost::asio::awaitable<void> closeMidStream(http::exchange &exchange)
{
    servedRequests += fake_platform::isQuestion(exchange) ? 0 : 1;
    auto head = signedHeaders();
    co_await exchange.startStream(200, std::move(head));
}

boost::asio::awaitable<void> answerSignedError(http::exchange &exchange)
{
    ++servedRequests;
    http::response_message answer{ 500, signedHeaders(), "own failure" };
    co_await exchange.respond(std::move(answer));
}

boost::asio::awaitable<void> streamPart(http::exchange &exchange)
{
    auto head = signedHeaders();
    co_await exchange.startStream(200, std::move(head));
    co_await exchange.write("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
}

boost::asio::awaitable<void> resumeStream(http::exchange &exchange)
{
    receivedLastEventId = exchange.request().headers.find("Last-Event-Id");
    if (receivedLastEventId.empty()) {
        co_await refuseNotRun(exchange);
        co_return;
    }
    auto head = signedHeaders();
    co_await exchange.startStream(200, std::move(head));
    co_await exchange.write("id: 3\ndata: c\n\n");
    co_await exchange.finishStream();
}

boost::asio::awaitable<void> answerWithoutSignature(http::exchange &exchange)
{
    ++servedRequests;
    http::response_message answer{ 200, { { "Attempt-Id", "a1" } }, "forged" };
    co_await exchange.respond(std::move(answer));
}

boost::asio::awaitable<void> askForQuiet(http::exchange &exchange)
{
    ++servedRequests;
    http::response_message answer;
    answer.status = 503;
    answer.headers.add("Attempt-Id", "a1");
    answer.headers.add("Not-Run", "1");
    answer.headers.add("Retry-After", "1.0");
    co_await exchange.respond(std::move(answer));
}

boost::asio::awaitable<void> announceLeaving(http::exchange &exchange)
{
    ++leavingServed;
    http::response_message answer{ 200, signedHeaders(), "last" };
    answer.headers.add("Server-Leaving", "1");
    co_await exchange.respond(std::move(answer));
}

/// The long answer is larger than what the connection to a caller holds.
boost::asio::awaitable<void> answerAtLengthOrSlowly(http::exchange &exchange)
{
    const bool isLong = exchange.request().path() == "/once/long";
    boost::asio::steady_timer wait(exchange.executor(), milliseconds(isLong ? 0 : 1'200));
    co_await wait.async_wait(boost::asio::use_awaitable);
    http::response_message answer{ 200, signedHeaders(), std::string(isLong ? 7 * 1024 * 1024 : 5, 'x') };
    co_await exchange.respond(std::move(answer));
}

boost::asio::awaitable<void> answerTooLate(http::exchange &exchange)
{
    boost::asio::steady_timer wait(exchange.executor(), milliseconds(3'000));
    co_await wait.async_wait(boost::asio::use_awaitable);
}

boost::asio::awaitable<void> endAfterTheFirstHead(http::exchange &exchange)
{
    auto head = signedHeaders();
    co_await exchange.startStream(200, std::move(head));
    if (servedRequests++ == 0) {
        co_return;
    }
    co_await exchange.write("id: 1\ndata: a\n\n");
    co_await exchange.finishStream();
}

} // namespace

Test(gateway, forwardsRequestAndAnswerUnchanged)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", echoBody);
    platform.start();
    const caller_answer answer = platform.call("/once/x");
    expectEqual(answer.status, 200);
    expectEqual(answer.body, "echo question");
    expectEqual(answer.signature, "stamp");
    expectEqual(receivedCustomer, "first");
    expectEqual(receivedKey, "");
}

Test(gateway, refusesUnknownKeysAndPaths)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", echoBody);
    platform.start();
    expectEqual(platform.call("/once/x", "wrong").status, 401);
    expectEqual(platform.call("/once/x", "").status, 401);
    expectEqual(platform.call("/nowhere/x").status, 404);
    expectEqual(servedRequests, 0);
}

Test(gateway, sendsRefusedRequestToAnotherServer)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", refuseNotRun);
    platform.addServer("i-2", "desk", echoBody);
    platform.start();
    for (int count = 0; count < 8; ++count) {
        const caller_answer answer = platform.call("/once/x");
        expectEqual(answer.body, "echo question");
        expectEqual(answer.status, 200);
    }
    expectEqual(servedRequests, 8);
}

Test(gateway, answers503WithRetryAfterWhenNoServerRanTheRequest)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", refuseNotRun);
    platform.start();
    const caller_answer answer = platform.call("/once/x");
    expectEqual(answer.status, 503);
    cr_assert_not(answer.retryAfter.empty());
    expectEqual(answer.signature, "");
}

Test(gateway, sendsNonIdempotentRequestOnlyOnceAfterItMayHaveRun)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", closeMidStream);
    platform.addServer("i-2", "desk", closeMidStream);
    platform.start();
    expectEqual(platform.call("/once/x").status, 502);
    expectEqual(servedRequests, 1);
}

Test(gateway, retriesIdempotentRequestAndPassesOnTheLastFailure)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", answerSignedError);
    platform.addServer("i-2", "desk", answerSignedError);
    platform.start();
    const caller_answer answer = platform.call("/again/x");
    expectEqual(answer.status, 500);
    expectEqual(answer.body, "own failure");
    expectEqual(servedRequests, 2);
}

Test(gateway, rejectsSuccessAnswerWithoutSignature)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", answerWithoutSignature);
    platform.start();
    const caller_answer answer = platform.call("/once/x");
    expectEqual(answer.status, 502);
    expectEqual(servedRequests, 1);
}

Test(gateway, resumesStreamAtAnotherServerAfterTheLastCompleteEvent)
{
    fake_platform platform;
    platform.addServer("i-1", "reading", streamPart);
    platform.addServer("i-2", "reading", resumeStream);
    platform.start();
    const caller_answer answer = platform.call("/stream/x");
    expectEqual(answer.status, 200);
    expectEqual(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    cr_assert(answer.isComplete);
    expectEqual(receivedLastEventId, "2");
}

Test(gateway, aStreamIsNotLostWhenItsServerEndsBetweenHeadAndFirstEvent)
{
    fake_platform platform;
    platform.addServer("i-1", "reading", endAfterTheFirstHead);
    platform.addServer("i-2", "reading", endAfterTheFirstHead);
    platform.start();
    const caller_answer answer = platform.call("/stream/x");
    expectEqual(answer.status, 200);
    expectEqual(answer.body, "id: 1\ndata: a\n\n");
    cr_assert(answer.isComplete);
}

Test(gateway, cutsConnectionOfAStreamThatCannotBeResumed)
{
    fake_platform platform;
    platform.addServer("i-1", "reading", streamPart);
    platform.start();
    const caller_answer answer = platform.call("/stream/x");
    expectEqual(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    cr_assert_not(answer.isComplete);
}

Test(gateway, refusesRequestsWhenConfigurationIsOutdated)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", echoBody);
    platform.setKeyRevocationLimit(shortKeyRevocationLimit);
    platform.start();
    platform.stopStore();
    platform.runFor(milliseconds(1'300));
    const caller_answer answer = platform.call("/once/x");
    expectEqual(answer.status, 503);
    cr_assert_not(answer.retryAfter.empty());
    expectEqual(servedRequests, 0);
    expectEqual(platform.readiness(), 503);
}

// Callers are refused until the store has answered a query that was sent after the outage.
Test(gateway, storeConfirmsAnOutdatedConfigurationWithoutWaitingForAChange)
{
    fake_platform platform;
    platform.setKeyRevocationLimit(shortKeyRevocationLimit);
    platform.start();
    const int before = platform.immediateAnswers();
    platform.stopStore();
    platform.runFor(milliseconds(1'300));
    expectEqual(platform.immediateAnswers(), before);
    platform.restartStore();
    platform.runFor(milliseconds(1'200));
    cr_assert_gt(platform.immediateAnswers(), before);
    expectEqual(platform.readiness(), 200);
}

Test(gateway, storeConfirmsTheConfigurationWithoutWaitingForAChangeAfterTheInstanceStoodStill)
{
    fake_platform platform;
    platform.setKeyRevocationLimit(shortKeyRevocationLimit);
    platform.start();
    const int before = platform.immediateAnswers();
    platform.blockAfter(milliseconds(50), milliseconds(900));
    platform.runFor(milliseconds(1'500));
    cr_assert_gt(platform.immediateAnswers(), before);
    expectEqual(platform.readiness(), 200);
}

// Each query has a price: one without a wait is followed by one with a wait, also while nothing may be confirmed.
Test(gateway, restoredStoreIsNotQueriedWithoutWaitTwiceInARow)
{
    fake_platform platform;
    platform.setKeyRevocationLimit(shortKeyRevocationLimit);
    platform.start();
    platform.restoreStoreWithoutServers();
    platform.runFor(milliseconds(1'800));
    cr_assert_leq(platform.immediateAnswers(), 7);
}

Test(gateway, sendsNothingMoreToAServerThatAskedForQuiet)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", askForQuiet);
    platform.start();
    const caller_answer first = platform.call("/once/x");
    expectEqual(first.status, 503);
    // The caller's time-out is 2 s, of which it may be told to wait a third.
    const caller_answer second = platform.call("/once/x");
    expectEqual(second.status, 503);
    cr_assert_gt(std::stod(second.retryAfter), 0.5);
    cr_assert_leq(std::stod(second.retryAfter), 0.667);
    expectEqual(servedRequests, 1);
    platform.runFor(milliseconds(1'100));
    platform.call("/once/x");
    expectEqual(servedRequests, 2);
}

Test(gateway, sendsNothingMoreToAServerThatAnnouncedItsLeaving)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", announceLeaving);
    platform.addServer("i-2", "desk", echoBody);
    platform.start();
    for (int count = 0; count < 20; ++count) {
        expectEqual(platform.call("/once/x").status, 200);
    }
    cr_assert_leq(leavingServed, 1);
}

Test(gateway, keepsServersThatARestoredStoreLacksUntilTheyHadTimeToWriteTheirEntriesAgain)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", echoBody);
    platform.start();
    platform.restoreStoreWithoutServers();
    platform.runFor(milliseconds(500));
    expectEqual(platform.call("/once/x").status, 200);
    platform.runFor(milliseconds(4'000));
    expectEqual(platform.call("/once/x").status, 503);
    expectEqual(platform.readiness(), 200);
}

Test(gateway, answers504AtTheDeadline)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", answerTooLate);
    platform.start();
    expectEqual(platform.call("/once/x", "secret", milliseconds(300)).status, 504);
}

Test(gateway, aCallerThatDoesNotReadItsAnswerUntilItsDeadlineCostsNoOtherCallerTheirs)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", answerAtLengthOrSlowly);
    platform.start();
    const caller_answer answer = platform.callBesideASlowCaller("/once/x", "/once/long");
    expectEqual(answer.status, 200);
    expectEqual(answer.body, "xxxxx");
}
