#include "programs/gateway/server_client.h"

#include "programs/gateway/tests/send_bench.h"
#include "testing/expect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

// Criterion runs each test in its own process, so this is zero at first in each test.
int calls = 0;

boost::asio::awaitable<void> answerSecondCallAsARequest(http::exchange &exchange)
{
    http::response_message answer = http::makeResponse(200, "{}", "application/json");
    if (++calls == 2) {
        answer.headers.add("Attempt-Id", "a1");
    }
    co_await exchange.respond(std::move(answer));
}

boost::asio::awaitable<void> callThrice(server_client &servers, endpoint to, std::string &outcomes)
{
    for (int count = 0; count < 3; ++count) {
        http::request_message order;
        auto limits = http::call_limits::within(milliseconds(300));
        const auto answer = co_await servers.call(to, std::move(order), std::move(limits), attempt_id("a2"));
        outcomes += answer ? "answered " : std::string(toString(answer.error().outcome)) + ' ';
    }
}

} // namespace

Test(server_client, doesNotTakeTheAnswerToARequestForThatToAnOrder)
{
    send_bench bench;
    const endpoint server = bench.addServer(answerSecondCallAsARequest);
    std::string outcomes;
    boost::asio::co_spawn(bench.executor(), callThrice(bench.context().servers, server, outcomes), boost::asio::detached);
    bench.runFor(milliseconds(200));
    expectEqual(outcomes, "answered may_have_run answered ");
}
