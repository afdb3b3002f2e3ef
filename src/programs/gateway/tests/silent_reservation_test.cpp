// Streams were cut with time and a run left: orders for memory that silent engines had not answered counted as sends of the request.

#include "programs/gateway/tests/engine_memory.h"
#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr size_t engineCount = 8;
constexpr milliseconds silence{ 1'600 }; ///< Of a sound engine; longer than five orders without an answer.
const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string lastEvent = "id: 2\ndata: b\n\n";

/// Engines that are silent for a while from the first order on; the first run of a request breaks off behind its first event.
struct silent_fleet {
    std::array<engine_memory, engineCount> memories;
    system_monotonic_clock clock;
    time_point silentUntil{};
    int runs = 0;

    boost::asio::awaitable<void> waitUntilAwake(http::exchange &exchange)
    {
        if (silentUntil == time_point()) {
            silentUntil = clock.now() + silence;
        }
        boost::asio::steady_timer timer(exchange.executor(), silentUntil - clock.now());
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    boost::asio::awaitable<void> answer(http::exchange &exchange)
    {
        const bool isFirst = ++runs == 1;
        http::header_list headers;
        headers.add("Attempt-Id", std::string(exchange.request().headers.find("Attempt-Id")));
        headers.add("Response-Stamp", "stamp");
        co_await exchange.startStream(200, std::move(headers));
        const std::string &event = isFirst ? firstEvent : lastEvent;
        co_await exchange.write(event);
        if (!isFirst) {
            co_await exchange.finishStream();
        }
    }

    boost::asio::awaitable<void> serve(http::exchange &exchange, engine_memory &memory)
    {
        if (!engine_memory::isOrder(exchange)) {
            co_await answer(exchange);
            co_return;
        }
        if (exchange.request().path() == "/api/order") {
            co_await waitUntilAwake(exchange);
        }
        co_await memory.serve(exchange);
    }
};

} // namespace

Test(silent_reservation, doesNotSpendTheRightToASecondRun)
{
    silent_fleet fleet;
    fake_platform platform;
    for (size_t number = 0; number < engineCount; ++number) {
        platform.addServer("engine-" + std::to_string(number), "batch", [&fleet, number](http::exchange &exchange) {
            return fleet.serve(exchange, fleet.memories[number]);
        });
    }
    platform.start();
    const caller_answer answer = platform.callWithTokens("/queue/x", "1500,10", milliseconds(4'800));
    expectEqual(answer.status, 200);
    expectEqual(answer.body, firstEvent + lastEvent);
    cr_assert(answer.isComplete);
    expectEqual(fleet.runs, 2);
}
