// A repeated prompt ended its servers: what only the guilty requests had in common was not a shared part.

#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr int serverCount = 12;
constexpr int crashesRequired = 3;
constexpr int sendsAllowedAfterThem = 3; // Of the users' rule.

// Criterion runs each test in its own process, so this is zero at first in each test.
int guiltySends = 0;

bool isGuilty(const http::exchange &exchange)
{
    const bool isOfGuiltyCustomer = exchange.request().path() == "/again/shared" && exchange.request().headers.find("Tenant") == "second";
    const bool hasGuiltyPart = exchange.request().headers.find("Prompt-Prefix").find("dead:") != std::string_view::npos;
    return isOfGuiltyCustomer || hasGuiltyPart || exchange.request().path() == "/again/dead";
}

/// Ends as soon as it begins to write an answer to a guilty request.
boost::asio::awaitable<void> crashOnGuiltyRequests(http::exchange &exchange)
{
    http::header_list head{ { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } };
    co_await exchange.startStream(200, std::move(head));
    if (isGuilty(exchange)) {
        ++guiltySends;
        co_return;
    }
    co_await exchange.write("id: 1\ndata: a\n\n");
    co_await exchange.finishStream();
}

void addServers(fake_platform &platform, const std::string &service)
{
    for (int number = 1; number <= serverCount; ++number) {
        platform.addServer(service + std::to_string(number), service, crashOnGuiltyRequests);
    }
}

std::string configWithSecondCustomer()
{
    std::string config = fake_platform::firstConfig();
    const std::string version = "\"version\":1";
    cr_assert_neq(config.find(version), std::string::npos);
    config.replace(config.find(version), version.size(), "\"version\":2");
    const std::string first = R"({"name":"first","api_keys":["secret"]})";
    config.replace(config.find(first), first.size(), first + R"(,{"name":"second","api_keys":["other"]})");
    return config;
}

} // namespace

Test(repeated_prompt, aPromptThatComesAgainIsSentNoMoreAndSoundOnesWithItsFirstPartAreServed)
{
    fake_platform platform;
    addServers(platform, "reading");
    platform.start();
    for (int request = 0; request < 30; ++request) {
        platform.callWithPrompt("/stream/x", "5c1e:40,dead:100");
        const caller_answer sound = platform.callWithPrompt("/stream/x", "5c1e:40,own" + std::to_string(request) + ":100");
        expectEqual(sound.status, 200);
        cr_assert(sound.isComplete);
    }
    cr_assert_leq(guiltySends, crashesRequired + sendsAllowedAfterThem);
}

Test(repeated_prompt, aPromptOfOnePartThatComesAgainIsSentNoMore)
{
    fake_platform platform;
    addServers(platform, "reading");
    platform.start();
    for (int request = 0; request < 30; ++request) {
        platform.callWithPrompt("/stream/x", "dead:100");
    }
    cr_assert_leq(guiltySends, crashesRequired + sendsAllowedAfterThem);
}

Test(repeated_prompt, aRequestWithoutPartsThatComesAgainIsSentNoMoreAndOthersAreServed)
{
    fake_platform platform;
    addServers(platform, "desk");
    platform.start();
    for (int request = 0; request < 30; ++request) {
        platform.call("/again/dead");
        expectEqual(platform.call("/again/" + std::to_string(request)).status, 200);
    }
    cr_assert_leq(guiltySends, crashesRequired + sendsAllowedAfterThem);
    expectEqual(platform.call("/again/dead").status, 503);
}

Test(repeated_prompt, aPrefixThatCannotBeReadConvictsNoOtherPrompt)
{
    fake_platform platform;
    addServers(platform, "reading");
    platform.start();
    for (const std::string &prefix : { std::string(","), std::string(":,:"), std::string("dead:,"), std::string(10'000, ',') }) {
        for (int request = 0; request < 6; ++request) {
            platform.callWithPrompt("/stream/x", prefix);
        }
    }
    expectEqual(platform.callWithPrompt("/stream/x", "own:100").status, 200);
    expectEqual(platform.callWithPrompt("/stream/x", "5c1e:40,own:100").status, 200);
}

Test(repeated_prompt, answersToAnotherCustomerOnTheSamePathDoNotClearARequestThatComesAgain)
{
    fake_platform platform;
    addServers(platform, "desk");
    platform.start();
    platform.publish(configWithSecondCustomer());
    platform.runFor(std::chrono::milliseconds(500));
    for (int request = 0; request < 30; ++request) {
        platform.call("/again/shared", "other");
        expectEqual(platform.call("/again/shared").status, 200);
    }
    cr_assert_leq(guiltySends, crashesRequired + sendsAllowedAfterThem);
}
