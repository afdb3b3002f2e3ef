#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr int serverCount = 12;
constexpr int crashesAllowed = 5; // Of the users' rule: what reaches servers after the fifth crash counts.
constexpr int sendsAllowedAfterThem = 3;

// Criterion runs each test in its own process, so these counters start at zero in each test.
int guiltySends = 0;

bool isGuilty(const http::exchange &exchange)
{
    return exchange.request().headers.find("Prompt-Prefix").find("dead:") != std::string_view::npos;
}

http::header_list signedHeaders()
{
    return { { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } };
}

/// Ends as soon as it begins to write an answer on the part "dead".
boost::asio::awaitable<void> crashOnThePart(http::exchange &exchange)
{
    auto head = signedHeaders();
    co_await exchange.startStream(200, std::move(head));
    if (isGuilty(exchange)) {
        ++guiltySends;
        co_return;
    }
    co_await exchange.write("id: 1\ndata: a\n\n");
    co_await exchange.finishStream();
}

/// Ends like crashOnThePart; each second time the answer has no length and looks complete.
boost::asio::awaitable<void> crashBetweenEvents(http::testing::raw_connection &connection)
{
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: stamp\r\n";
    const bool looksComplete = ++guiltySends % 2 == 0;
    const std::string bytes = looksComplete ? head + "\r\nid: 1\ndata: a\n\n" : head + "Transfer-Encoding: chunked\r\n\r\n";
    co_await connection.send(bytes);
}

void addServers(fake_platform &platform, const std::string &service = "reading")
{
    for (int number = 1; number <= serverCount; ++number) {
        platform.addServer(service + std::to_string(number), service, crashOnThePart);
    }
}

} // namespace

Test(crashing_part, requestsWithAPartThatEndsServerAfterServerAreSentNoMore)
{
    fake_platform platform;
    addServers(platform);
    platform.start();
    for (int request = 0; request < 30; ++request) {
        platform.callWithPrompt("/stream/x", "5c1e:40,dead:40,own" + std::to_string(request) + ":100");
    }
    cr_assert_leq(guiltySends, crashesAllowed + sendsAllowedAfterThem);
}

Test(crashing_part, aRequestThatIsHeldBackIsRefusedAtOnceAsNotRun)
{
    fake_platform platform;
    addServers(platform);
    platform.start();
    caller_answer last;
    for (int request = 0; request < 30; ++request) {
        last = platform.callWithPrompt("/stream/x", "dead:40,own:100");
    }
    expectEqual(last.status, 503);
    cr_assert_not(last.retryAfter.empty());
}

Test(crashing_part, soundRequestsThatShareTheOtherPartsAreServed)
{
    fake_platform platform;
    addServers(platform);
    platform.start();
    for (int request = 0; request < 30; ++request) {
        platform.callWithPrompt("/stream/x", "5c1e:40,dead:40,own:100");
        const caller_answer sound = platform.callWithPrompt("/stream/x", "5c1e:40,own:100");
        expectEqual(sound.status, 200);
        cr_assert(sound.isComplete);
    }
}

Test(crashing_part, anAnswerThatEndsWithItsConnectionDoesNotClearThePart)
{
    fake_platform platform;
    for (int number = 1; number <= serverCount; ++number) {
        platform.addRawServer("i-" + std::to_string(number), "reading", crashBetweenEvents);
    }
    platform.start();
    for (int request = 0; request < 30; ++request) {
        platform.callWithPrompt("/stream/x", "dead:40,own:100");
    }
    cr_assert_leq(guiltySends, crashesAllowed + sendsAllowedAfterThem);
}

Test(crashing_part, plainRequestsWithAPartThatEndsServersAreSentNoMoreEither)
{
    fake_platform platform;
    addServers(platform, "desk");
    platform.start();
    for (int request = 0; request < 30; ++request) {
        platform.callWithPrompt("/again/x", "dead:40,own:100");
    }
    cr_assert_leq(guiltySends, crashesAllowed + sendsAllowedAfterThem);
}

Test(crashing_part, aPartIsHeldBackFromTheServersOfAnotherServiceToo)
{
    fake_platform platform;
    addServers(platform, "reading");
    addServers(platform, "desk");
    platform.start();
    for (int request = 0; request < 30; ++request) {
        platform.callWithPrompt("/stream/x", "dead:40,own:100");
    }
    const int before = guiltySends;
    expectEqual(platform.callWithPrompt("/again/x", "dead:40,own:100").status, 503);
    expectEqual(guiltySends, before);
}

Test(crashing_part, requestsThatAreSentThroughAnotherInstanceAreHeldBackToo)
{
    fake_platform platform;
    addServers(platform);
    platform.start();
    platform.startSecondInstance();
    platform.cutFirstInstanceFromServers();
    for (int request = 0; request < 30; ++request) {
        platform.callWithPrompt("/stream/x", "5c1e:40,dead:40,own" + std::to_string(request) + ":100");
    }
    cr_assert_gt(guiltySends, 0);
    cr_assert_leq(guiltySends, crashesAllowed + sendsAllowedAfterThem);
}
