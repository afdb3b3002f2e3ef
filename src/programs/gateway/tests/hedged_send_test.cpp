#include "programs/gateway/hedged_send.h"

#include "programs/gateway/tests/send_bench.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

// Criterion runs each test in its own process, so this is zero at first in each test.
int runs = 0;

boost::asio::awaitable<void> countRun(http::exchange &exchange)
{
    ++runs;
    http::response_message answer{ 200, { { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } }, "whole" };
    co_await exchange.respond(std::move(answer));
}

} // namespace

Test(hedged_send, sendsNothingAfterItWasCancelledWhileItConnected)
{
    send_bench bench;
    hedged_send::order sent;
    sent.attempt = std::make_shared<sent_attempt>(attempt_id("a1"));
    sent.address = bench.addServer(countRun);
    sent.limits.connect = milliseconds(2'000);
    bench.client().setPartitionedEndpoints({ sent.address });
    const auto hedge = std::make_shared<hedged_send>(bench.context(), std::move(sent));
    hedge->start(bench.executor(), [] {});
    bench.runFor(milliseconds(20));
    hedge->cancel();
    bench.client().setPartitionedEndpoints({});
    bench.runFor(milliseconds(300));
    expectEqual(runs, 0);
}
