// An instance that reached no server spent each request on one dead path after the other and served nobody.

#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr int callsBeforeTheVerdict = 6;
constexpr int callsAfterIt = 12;

// Criterion runs each test in its own process, so this is empty at first in each test.
std::map<std::string, int> runsByPath;

boost::asio::awaitable<void> answer(http::exchange &exchange)
{
    ++runsByPath[std::string(exchange.request().path())];
    http::response_message message = http::makeResponse(200, "done", "text/plain");
    message.headers.add("Attempt-Id", "a1");
    message.headers.add("Response-Stamp", "stamp");
    co_await exchange.respond(std::move(message));
}

boost::asio::awaitable<void> answerInEvents(http::exchange &exchange)
{
    http::header_list head{ { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } };
    co_await exchange.startStream(200, std::move(head));
    co_await exchange.write("id: 1\ndata: a\n\n");
    co_await exchange.write("id: 2\ndata: b\n\n");
    co_await exchange.finishStream();
}

void startTwoInstances(fake_platform &platform, const std::string &service, const fake_platform::backend &serve)
{
    for (int number = 1; number <= 4; ++number) {
        platform.addServer(service + std::to_string(number), service, serve);
    }
    platform.start();
    platform.startSecondInstance();
}

int servedOf(fake_platform &platform, const std::string &path, int calls)
{
    int served = 0;
    for (int call = 0; call < calls; ++call) {
        const caller_answer got = platform.call(path + std::to_string(call), "secret", milliseconds(1'000));
        served += got.status == 200 && got.isComplete ? 1 : 0;
    }
    return served;
}

// Criterion runs each test in its own process, so this is zero at first in each test.
int streams = 0;

/// The first run goes on until its caller leaves; the next one goes on after its last event.
boost::asio::awaitable<void> answerUntilLeft(http::exchange &exchange)
{
    if (fake_platform::isQuestion(exchange)) {
        co_await exchange.respond(http::makeResponse(200, "{}", "application/json"));
        co_return;
    }
    const bool isContinuation = exchange.request().headers.find("Last-Event-Id") == "2";
    ++streams;
    http::header_list head{ { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } };
    co_await exchange.startStream(200, std::move(head));
    if (isContinuation) {
        co_await exchange.write("id: 3\ndata: c\n\n");
        co_await exchange.finishStream();
        co_return;
    }
    co_await exchange.write("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    boost::asio::steady_timer untilLeft(exchange.executor(), std::chrono::seconds(3));
    exchange.onDisconnect([&untilLeft] {
        untilLeft.cancel();
    });
    boost::system::error_code ignored;
    co_await untilLeft.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

std::string configWithOneServerForAStream()
{
    std::string config = fake_platform::firstConfig();
    const std::string two = "\"max_attempts\":2"; // The first one is that of the stream.
    config.replace(config.find(two), two.size(), "\"max_attempts\":1");
    const std::string version = "\"version\":1";
    return config.replace(config.find(version), version.size(), "\"version\":2");
}

} // namespace

Test(instance_without_servers, servesItsCallersThroughAnotherInstance)
{
    fake_platform platform;
    startTwoInstances(platform, "desk", answer);
    expectEqual(servedOf(platform, "/again/before", 4), 4);
    platform.cutFirstInstanceFromServers();
    servedOf(platform, "/again/early", callsBeforeTheVerdict);
    expectEqual(servedOf(platform, "/again/late", callsAfterIt), callsAfterIt);
}

Test(instance_without_servers, streamsEventsThroughAnotherInstance)
{
    fake_platform platform;
    startTwoInstances(platform, "reading", answerInEvents);
    platform.cutFirstInstanceFromServers();
    servedOf(platform, "/stream/early", callsBeforeTheVerdict);
    expectEqual(servedOf(platform, "/stream/late", callsAfterIt), callsAfterIt);
}

Test(instance_without_servers, runsARequestOnceThatMayNotRunTwice)
{
    fake_platform platform;
    startTwoInstances(platform, "desk", answer);
    servedOf(platform, "/once/before", 4);
    platform.cutFirstInstanceFromServers();
    servedOf(platform, "/once/early", callsBeforeTheVerdict);
    expectEqual(servedOf(platform, "/once/late", callsAfterIt), callsAfterIt);
    for (const auto &[path, runs] : runsByPath) {
        expectEqual(runs, 1);
    }
}

// Streams broke when the instance that relayed them was stopped, as their servers counted as lost.
// The end of its relay, and one send that reached nobody after it, cut a stream whose one server was still at work.
Test(instance_without_servers, aStreamGoesOnAtItsServerThoughThatIsOutOfReachWhenTheRelayStops)
{
    fake_platform platform;
    platform.setStopGrace(milliseconds(1'600));
    platform.addServer("reading1", "reading", answerUntilLeft);
    platform.publish(configWithOneServerForAStream());
    platform.start();
    platform.startSecondInstance();
    platform.cutFirstInstanceFromServers();
    raw_caller caller = platform.openCaller("POST /stream/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 9000\r\n"
                                            "Authorization: Token secret\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    platform.runFor(milliseconds(600));
    expectEqual(streams, 1);
    platform.stopSecondInstance();
    platform.runFor(milliseconds(1'400));
    platform.restartLoop();
    platform.runFor(milliseconds(500));
    platform.reconnectFirstInstance();
    platform.runFor(milliseconds(1'500));
    expectEqual(streams, 2);
    expectEqual(caller.stream(), "whole id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

Test(instance_without_servers, aStreamGoesOnAtItsServerWhenTheRelayStops)
{
    fake_platform platform;
    platform.setStopGrace(milliseconds(1'600));
    platform.addServer("reading1", "reading", answerUntilLeft);
    platform.start();
    platform.startSecondInstance();
    platform.cutFirstInstanceFromServers();
    raw_caller caller = platform.openCaller("POST /stream/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 9000\r\n"
                                            "Authorization: Token secret\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    platform.runFor(milliseconds(600));
    expectEqual(streams, 1);
    platform.stopSecondInstance();
    platform.reconnectFirstInstance();
    platform.runFor(milliseconds(1'400));
    expectEqual(streams, 2);
    expectEqual(caller.stream(), "whole id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}
