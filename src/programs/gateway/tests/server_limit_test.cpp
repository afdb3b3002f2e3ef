// Incident LIMIT: a server that had named a limit got more.

#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

#include <algorithm>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr seconds window{ 4 };
constexpr size_t allowedInWindow = 11; // 1.5 x the limit of 1 a second x 4 s, + 5: the users' rule.

/// Arrivals at a server that names its limit in each answer.
class limited_server
{
public:
    http::handler handler()
    {
        return [this](http::exchange &exchange) -> boost::asio::awaitable<void> {
            m_arrivals.push_back(m_clock.now());
            http::response_message answer{ 200, { { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } }, "whole" };
            if (m_isInNeed) {
                answer.headers.add("Server-Limit", "1.0");
            }
            co_await exchange.respond(std::move(answer));
        };
    }
    void endNeed()
    {
        m_isInNeed = false;
    }
    size_t arrivals() const
    {
        return m_arrivals.size();
    }
    size_t mostInWindow() const
    {
        size_t most = 0;
        for (auto first = m_arrivals.begin(); first != m_arrivals.end(); ++first) {
            const auto isInside = [first](time_point at) {
                return at < *first + window;
            };
            most = std::max(most, static_cast<size_t>(std::count_if(first, m_arrivals.end(), isInside)));
        }
        return most;
    }

private:
    system_monotonic_clock m_clock;
    std::vector<time_point> m_arrivals;
    bool m_isInNeed = true;
};

boost::asio::awaitable<void> serve(http::exchange &exchange)
{
    http::response_message answer{ 200, { { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } }, "whole" };
    co_await exchange.respond(std::move(answer));
}

unsigned callFor(fake_platform &platform, milliseconds time)
{
    unsigned served = 0;
    const system_monotonic_clock clock;
    for (const time_point end = clock.now() + time; clock.now() < end; platform.runFor(milliseconds(20))) {
        served += platform.call("/again/x").status == 200 ? 1 : 0;
    }
    return served;
}

} // namespace

Test(server_limit, aServerThatNamedALimitGetsNoMoreThanItTakes)
{
    limited_server limited;
    fake_platform platform;
    platform.addServer("i-1", "desk", limited.handler());
    platform.addServer("i-2", "desk", serve);
    platform.start();
    cr_assert_gt(callFor(platform, milliseconds(6'000)), 50U);
    cr_assert_leq(limited.mostInWindow(), allowedInWindow);
    cr_assert_geq(limited.arrivals(), 4U); // It still takes its limit.
}

Test(server_limit, whenAllServersAreAtTheirLimitsCallersAreToldWhenToComeBack)
{
    limited_server limited;
    fake_platform platform;
    platform.addServer("i-1", "desk", limited.handler());
    platform.start();
    callFor(platform, milliseconds(1'000));
    const caller_answer answer = platform.call("/again/x");
    expectEqual(answer.status, 503);
    cr_assert_gt(std::stod(answer.retryAfter), 0.0);
    callFor(platform, milliseconds(4'000));
    cr_assert_leq(limited.mostInWindow(), allowedInWindow);
}

Test(server_limit, aServerThatNamesNoLimitAnyMoreIsUsedAsBefore)
{
    limited_server limited;
    fake_platform platform;
    platform.addServer("i-1", "desk", limited.handler());
    platform.start();
    callFor(platform, milliseconds(500));
    limited.endNeed();
    callFor(platform, milliseconds(5'000)); // A request that the limit allows brings the news.
    const size_t before = limited.arrivals();
    const unsigned served = callFor(platform, milliseconds(1'000));
    cr_assert_gt(served, 10U);
    expectEqual(limited.arrivals() - before, size_t{ served });
}
