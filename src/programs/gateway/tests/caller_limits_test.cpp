// What the operator's limits allow and refuse, and what a change of them means for what is under way.

#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds answerTime{ 300 };

int served = 0;

boost::asio::awaitable<void> answerAndCount(http::testing::raw_connection &connection)
{
    ++served;
    co_await connection.send(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nAttempt-Id: a1\r\nResponse-Stamp: stamp\r\nContent-Length: 5\r\n\r\nwhole");
}

class limited_platform : public fake_platform
{
public:
    explicit limited_platform(const std::string &limits)
    {
        served = 0;
        addRawServer("i-1", "desk", answerAndCount);
        publish(configWith(1, limits));
        start();
    }

    void change(unsigned version, const std::string &limits)
    {
        publish(configWith(version, limits));
        runFor(answerTime);
    }

    raw_caller send(const std::string &bytes)
    {
        raw_caller caller = openCaller(bytes);
        runFor(answerTime);
        return caller;
    }

private:
    static std::string configWith(unsigned version, const std::string &limits)
    {
        const std::string first = R"("version":1)";
        std::string text = firstConfig();
        return text.replace(text.find(first), first.size(), R"("version":)" + std::to_string(version) + R"(,"limits":)" + limits);
    }
};

std::string headOf(size_t contentLength, const std::string &fields = "")
{
    return "POST /once/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nAttempt-Id: a1\r\nDeadline-Ms: 4000\r\n"
           "Authorization: Token secret\r\n"
        + fields + "Content-Length: " + std::to_string(contentLength) + "\r\n\r\n";
}

std::string requestOf(size_t bodyBytes)
{
    return headOf(bodyBytes) + std::string(bodyBytes, 'x');
}

std::string field(size_t bytes)
{
    return "X-Fill: " + std::string(bytes, 'x') + "\r\n";
}

std::string statusOf(const raw_caller &caller)
{
    return caller.onlyAnswer().substr(0, 3);
}

} // namespace

Test(caller_limits, aBodyBeyondTheLimitReachesNoServerAndIsCounted)
{
    limited_platform platform(R"({"max_header_bytes":2000,"max_body_bytes":1000})");
    expectEqual(statusOf(platform.send(requestOf(1'000))), "200");
    expectEqual(statusOf(platform.send(headOf(1'001))), "413");
    expectEqual(served, 1);
    cr_assert_neq(platform.metrics().find("refusals_total{reason=\"limit_body_bytes\"} 1"), std::string::npos);
}

Test(caller_limits, aHeadBeyondTheLimitReachesNoServerAndIsCounted)
{
    limited_platform platform(R"({"max_header_bytes":2000,"max_body_bytes":1000})");
    expectEqual(statusOf(platform.send(headOf(0, field(2'000)))), "431");
    expectEqual(served, 0);
    cr_assert_neq(platform.metrics().find("refusals_total{reason=\"limit_header_bytes\"} 1"), std::string::npos);
}

// Beyond what a server took before the operator could set limits.
Test(caller_limits, aHeadWithinAHighLimitIsServed)
{
    limited_platform platform(R"({"max_header_bytes":40000,"max_body_bytes":1000})");
    expectEqual(statusOf(platform.send(headOf(0, field(30'000)))), "200");
}

Test(caller_limits, thatShrinkHoldForWhatBeginsAfterwards)
{
    limited_platform platform(R"({"max_header_bytes":2000,"max_body_bytes":1000})");
    raw_caller underWay = platform.send(headOf(1'000));
    platform.change(2, R"({"max_header_bytes":2000,"max_body_bytes":10})");
    underWay.send(std::string(1'000, 'x'));
    platform.runFor(answerTime);
    expectEqual(statusOf(underWay), "200");
    expectEqual(statusOf(platform.send(requestOf(1'000))), "413");
}

Test(caller_limits, thatGrowHoldForAHeadUnderWayToo)
{
    limited_platform platform(R"({"max_header_bytes":1000,"max_body_bytes":1000})");
    const std::string request = headOf(0, field(1'500));
    raw_caller underWay = platform.send(request.substr(0, 900));
    platform.change(2, R"({"max_header_bytes":2000,"max_body_bytes":1000})");
    underWay.send(request.substr(900));
    platform.runFor(answerTime);
    expectEqual(statusOf(underWay), "200");
}

Test(caller_limits, thatAreDamagedLeaveTheLastSoundOnesInForce)
{
    limited_platform platform(R"({"max_header_bytes":2000,"max_body_bytes":1000})");
    platform.change(2, R"({"max_header_bytes":"none","max_body_bytes":-1})");
    expectEqual(statusOf(platform.send(requestOf(1'000))), "200");
    expectEqual(statusOf(platform.send(headOf(1'001))), "413");
    expectEqual(statusOf(platform.send(headOf(0, field(2'000)))), "431");
}
