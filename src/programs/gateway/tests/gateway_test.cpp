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

// Criterion forks for each test, so the counters of one test are its own.
int served = 0;
std::string lastSeenEvent;
std::string seenCustomer;
std::string seenKey;

http::header_list signedHead()
{
    return { { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } };
}

boost::asio::awaitable<void> answerWhole(http::exchange &exchange)
{
    ++served;
    seenCustomer = exchange.request().headers.find("Tenant");
    seenKey = exchange.request().headers.find("Authorization");
    http::response_message answer{ 200, signedHead(), "echo " + *exchange.request().body };
    co_await exchange.respond(std::move(answer));
}

boost::asio::awaitable<void> refuseUnrun(http::exchange &exchange)
{
    http::response_message answer;
    answer.status = 503;
    answer.headers.add("Not-Run", "1");
    co_await exchange.respond(std::move(answer));
}

boost::asio::awaitable<void> breakOff(http::exchange &exchange)
{
    ++served;
    auto head = signedHead();
    co_await exchange.startStream(200, std::move(head));
}

boost::asio::awaitable<void> failSigned(http::exchange &exchange)
{
    ++served;
    http::response_message answer{ 500, signedHead(), "own failure" };
    co_await exchange.respond(std::move(answer));
}

boost::asio::awaitable<void> streamHalf(http::exchange &exchange)
{
    auto head = signedHead();
    co_await exchange.startStream(200, std::move(head));
    co_await exchange.write("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
}

boost::asio::awaitable<void> streamRest(http::exchange &exchange)
{
    lastSeenEvent = exchange.request().headers.find("Last-Event-Id");
    if (lastSeenEvent.empty()) {
        co_await refuseUnrun(exchange);
        co_return;
    }
    auto head = signedHead();
    co_await exchange.startStream(200, std::move(head));
    co_await exchange.write("id: 3\ndata: c\n\n");
    co_await exchange.finishStream();
}

boost::asio::awaitable<void> answerUnsigned(http::exchange &exchange)
{
    ++served;
    http::response_message answer{ 200, { { "Attempt-Id", "a1" } }, "forged" };
    co_await exchange.respond(std::move(answer));
}

boost::asio::awaitable<void> thinkTooLong(http::exchange &exchange)
{
    boost::asio::steady_timer wait(exchange.executor(), milliseconds(3'000));
    co_await wait.async_wait(boost::asio::use_awaitable);
}

} // namespace

Test(gateway, forwardsARequestAndItsAnswerUnchanged)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", answerWhole);
    platform.start();
    const caller_answer answer = platform.call("/once/x");
    expectEqual(answer.status, 200);
    expectEqual(answer.body, "echo question");
    expectEqual(answer.signature, "stamp");
    expectEqual(seenCustomer, "first");
    expectEqual(seenKey, "");
}

Test(gateway, refusesUnknownKeysAndPaths)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", answerWhole);
    platform.start();
    expectEqual(platform.call("/once/x", "wrong").status, 401);
    expectEqual(platform.call("/once/x", "").status, 401);
    expectEqual(platform.call("/nowhere/x").status, 404);
    expectEqual(served, 0);
}

Test(gateway, sendsARefusedRequestToAnotherServer)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", refuseUnrun);
    platform.addServer("i-2", "desk", answerWhole);
    platform.start();
    for (int count = 0; count < 8; ++count) {
        expectEqual(platform.call("/once/x").status, 200);
    }
    expectEqual(served, 8);
}

Test(gateway, saysTrulyThatNothingHasRunAndWhenToComeBack)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", refuseUnrun);
    platform.start();
    const caller_answer answer = platform.call("/once/x");
    expectEqual(answer.status, 503);
    cr_assert_not(answer.retryAfter.empty());
    expectEqual(answer.signature, "");
}

Test(gateway, neverRunsARequestTwiceThatMayRunOnce)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", breakOff);
    platform.addServer("i-2", "desk", breakOff);
    platform.start();
    expectEqual(platform.call("/once/x").status, 502);
    expectEqual(served, 1);
}

Test(gateway, repeatsAnIdempotentRequestAndPassesTheLastFailureOn)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", failSigned);
    platform.addServer("i-2", "desk", failSigned);
    platform.start();
    const caller_answer answer = platform.call("/again/x");
    expectEqual(answer.status, 500);
    expectEqual(answer.body, "own failure");
    expectEqual(served, 2);
}

Test(gateway, neverDeliversASuccessWithoutASignature)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", answerUnsigned);
    platform.start();
    const caller_answer answer = platform.call("/once/x");
    expectEqual(answer.status, 502);
    expectEqual(served, 1);
}

Test(gateway, goesOnWithAStreamAtAnotherServerBehindTheLastWholeEvent)
{
    fake_platform platform;
    platform.addServer("i-1", "reading", streamHalf);
    platform.addServer("i-2", "reading", streamRest);
    platform.start();
    const caller_answer answer = platform.call("/stream/x");
    expectEqual(answer.status, 200);
    expectEqual(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    cr_assert(answer.isWhole);
    expectEqual(lastSeenEvent, "2");
}

Test(gateway, aStreamThatCannotGoOnDoesNotLookWhole)
{
    fake_platform platform;
    platform.addServer("i-1", "reading", streamHalf);
    platform.start();
    const caller_answer answer = platform.call("/stream/x");
    expectEqual(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    cr_assert_not(answer.isWhole);
}

Test(gateway, refusesKeysWhenTheConfigurationIsNotConfirmedAnyMore)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", answerWhole);
    platform.start();
    platform.stopStore();
    platform.runFor(milliseconds(1'300));
    const caller_answer answer = platform.call("/once/x");
    expectEqual(answer.status, 503);
    cr_assert_not(answer.retryAfter.empty());
    expectEqual(served, 0);
    expectEqual(platform.readiness(), 503);
}

Test(gateway, answersAtTheDeadlineOfARequestThatMayHaveRun)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", thinkTooLong);
    platform.start();
    expectEqual(platform.call("/once/x", "secret", milliseconds(300)).status, 504);
}
