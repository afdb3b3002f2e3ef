// Incident STUCK: engines' memory was reserved and no request used it.

#include "programs/gateway/reservation_set.h"
#include "programs/gateway/tests/engine_memory.h"
#include "programs/gateway/tests/fake_platform.h"
#include "programs/gateway/tests/send_bench.h"
#include "testing/expect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <thread>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds unusedLimit{ 9'000 }; // `idle_max_ms` of all deployments.
constexpr milliseconds freedLimit{ 4'000 }; // `free_ms` of all deployments.
constexpr milliseconds leaseTime = reservation_limits().lease;

const std::string longRoute = R"({"name":"long","host":"h.example","path_prefix":"/long/","kind":"streaming","timeout_ms":12000,
 "target_latency_ms":3000,"service":"batch","max_attempts":2,"resumable":true,"target_gap_ms":1000},)";

std::string configWithLongRoute()
{
    std::string config = fake_platform::firstConfig();
    config.replace(config.find("\"version\":1"), std::string("\"version\":1").size(), "\"version\":2");
    const std::string routes = "\"routes\":[";
    return config.insert(config.find(routes) + routes.size(), longRoute);
}

/// Engines of one service that share a ledger; they accept requests and never begin one.
http::handler silentEngine(engine_memory &memory)
{
    return [&memory](http::exchange &exchange) -> asio::awaitable<void> {
        if (engine_memory::isOrder(exchange)) {
            co_await memory.serve(exchange);
            co_return;
        }
        asio::steady_timer never(exchange.executor(), seconds(60));
        co_await never.async_wait(asio::use_awaitable);
    };
}

/// Engines that begin to answer, then end the request and never say so.
http::handler engineThatFallsSilent(engine_memory &memory)
{
    return [&memory](http::exchange &exchange) -> asio::awaitable<void> {
        if (engine_memory::isOrder(exchange)) {
            co_await memory.serve(exchange);
            co_return;
        }
        memory.beginUse();
        http::header_list head{ { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } };
        co_await exchange.startStream(200, std::move(head));
        co_await exchange.write("id: 1\ndata: a\n\n");
        asio::steady_timer timer(exchange.executor(), milliseconds(1'500));
        co_await timer.async_wait(asio::use_awaitable);
        memory.endUse();
        timer.expires_after(seconds(60));
        co_await timer.async_wait(asio::use_awaitable);
    };
}

listed_server engineAt(const endpoint &address, std::uint64_t startedAt)
{
    listed_server server;
    server.id = backend_server_id("i-1");
    server.service = service_id("batch");
    server.address = address;
    server.dataCentre = data_centre_id("dc");
    server.slots = 4;
    server.startedAt = startedAt;
    return server;
}

bool acquire(send_bench &bench, reservation_set &reservations)
{
    bool isGranted = false;
    asio::co_spawn(bench.executor(), reservations.acquire(), [&isGranted](std::exception_ptr, bool granted) {
        isGranted = granted;
    });
    bench.runFor(milliseconds(200));
    return isGranted;
}

std::shared_ptr<reservation_set> makeReservation(send_bench &bench, const endpoint &address)
{
    std::vector<reservation_set::share> shares;
    shares.push_back({ keyOf(backend_server_id("i-1")), backend_server_id("i-1"), address, 100 });
    return std::make_shared<reservation_set>(bench.context(), bench.executor(), 9, std::move(shares));
}

} // namespace

Test(unused_reservation, aSilentEngineKeepsNoMemoryForAPromptThatItNeverBegins)
{
    engine_memory memory;
    fake_platform platform;
    for (int number = 1; number <= 4; ++number) {
        platform.addServer("i-" + std::to_string(number), "batch", silentEngine(memory));
    }
    platform.publish(configWithLongRoute());
    platform.start();
    platform.callWithTokens("/long/x", "1500,10", milliseconds(12'000));
    cr_assert_gt(memory.longestHold().count(), 0);
    cr_assert_leq(memory.longestHold().count(), unusedLimit.count());
}

Test(unused_reservation, aSendThatEndsWithoutAReleaseKeepsNoMemory)
{
    engine_memory memory;
    send_bench bench;
    auto reservations = makeReservation(bench, bench.addServer(silentEngine(memory)));
    cr_assert(acquire(bench, *reservations));
    expectEqual(memory.heldCount(), size_t{ 1 });
    reservations.reset();
    bench.runFor(leaseTime + milliseconds(500));
    expectEqual(memory.heldCount(), size_t{ 0 });
}

Test(unused_reservation, anEngineThatStartedAgainReservesNothingForARequestOfItsFormerStart)
{
    engine_memory memory;
    send_bench bench;
    const endpoint address = bench.addServer(silentEngine(memory));
    const time_point now = bench.context().clock.now();
    bench.context().state.apply(server_listed{ engineAt(address, 1) }, now, now);
    auto reservations = makeReservation(bench, address);
    cr_assert(acquire(bench, *reservations));
    memory.forgetAll();
    bench.context().state.apply(server_listed{ engineAt(address, 2) }, now, now);
    bench.runFor(2 * reservation_limits().renewalInterval);
    expectEqual(memory.heldCount(), size_t{ 0 });
}

Test(unused_reservation, aSilentEngineKeepsNoMemoryForAPromptThatHasEndedThere)
{
    engine_memory memory;
    fake_platform platform;
    for (int number = 1; number <= 4; ++number) {
        platform.addServer("i-" + std::to_string(number), "batch", engineThatFallsSilent(memory));
    }
    platform.publish(configWithLongRoute());
    platform.start();
    platform.callWithTokens("/long/x", "1500,10", milliseconds(12'000));
    cr_assert_gt(memory.longestHoldAfterUse().count(), 0);
    cr_assert_leq(memory.longestHoldAfterUse().count(), freedLimit.count());
}

Test(unused_reservation, aReportOfUnusedMemoryDoesNotEndAnAnswerThatGoesOn)
{
    engine_memory memory;
    send_bench bench;
    auto reservations = makeReservation(bench, bench.addServer(silentEngine(memory)));
    bool isGivenUp = false;
    reservations->onGivenUp([&isGivenUp] {
        isGivenUp = true;
    });
    cr_assert(acquire(bench, *reservations));
    reservations->recordUse();
    // The request is preempted for a while.
    bench.runFor(2 * reservation_limits().renewalInterval + milliseconds(200));
    expectEqual(isGivenUp, false);
    memory.beginUse();
    bench.runFor(leaseTime);
    expectEqual(isGivenUp, false);
    expectEqual(memory.heldCount(), size_t{ 1 });
    expectEqual(memory.lapsedCount(), size_t{ 0 });
}

Test(unused_reservation, memoryOfARunThatEndedUnnoticedBeforeItsFirstEventIsFreed)
{
    engine_memory memory;
    send_bench bench;
    auto reservations = makeReservation(bench, bench.addServer(silentEngine(memory)));
    cr_assert(acquire(bench, *reservations));
    memory.beginUse();
    bench.runFor(reservation_limits().renewalInterval + milliseconds(200));
    memory.endUse();
    bench.runFor(freedLimit);
    expectEqual(memory.heldCount(), size_t{ 0 });
    cr_assert_leq(memory.longestHoldAfterUse().count(), freedLimit.count());
}

Test(unused_reservation, aRunThatIsPreemptedBeforeItsFirstEventKeepsItsMemory)
{
    engine_memory memory;
    send_bench bench;
    auto reservations = makeReservation(bench, bench.addServer(silentEngine(memory)));
    cr_assert(acquire(bench, *reservations));
    memory.beginUse();
    bench.runFor(reservation_limits().renewalInterval + milliseconds(200));
    memory.endUse();
    bench.runFor(2 * reservation_limits().renewalInterval);
    memory.beginUse();
    bench.runFor(leaseTime);
    expectEqual(memory.heldCount(), size_t{ 1 });
    expectEqual(memory.lapsedCount(), size_t{ 0 });
}

Test(unused_reservation, memoryOfAnAnswerThatHasEndedUnnoticedIsFreed)
{
    engine_memory memory;
    send_bench bench;
    auto reservations = makeReservation(bench, bench.addServer(silentEngine(memory)));
    cr_assert(acquire(bench, *reservations));
    memory.beginUse();
    reservations->recordUse();
    memory.endUse();
    bench.runFor(freedLimit);
    expectEqual(memory.heldCount(), size_t{ 0 });
    cr_assert_leq(memory.longestHoldAfterUse().count(), freedLimit.count());
}

Test(unused_reservation, anInstanceThatStoodStillKeepsNoMemoryOfAnAnswerThatHasEndedMeanwhile)
{
    engine_memory memory;
    send_bench bench;
    auto reservations = makeReservation(bench, bench.addServer(silentEngine(memory)));
    cr_assert(acquire(bench, *reservations));
    memory.beginUse();
    reservations->recordUse();
    memory.endUse();
    asio::post(bench.executor(), [] {
        std::this_thread::sleep_for(leaseTime - milliseconds(500));
    });
    bench.runFor(freedLimit);
    expectEqual(memory.heldCount(), size_t{ 0 });
    cr_assert_leq(memory.longestHoldAfterUse().count(), freedLimit.count());
}

Test(unused_reservation, eventsThatAreReadAfterAStandStillKeepNoMemoryOfAnAnswerThatHasEnded)
{
    engine_memory memory;
    send_bench bench;
    auto reservations = makeReservation(bench, bench.addServer(silentEngine(memory)));
    cr_assert(acquire(bench, *reservations));
    memory.beginUse();
    reservations->recordUse();
    memory.endUse();
    asio::post(bench.executor(), [&reservations] {
        std::this_thread::sleep_for(leaseTime / 2);
        reservations->recordUse();
    });
    bench.runFor(freedLimit);
    expectEqual(memory.heldCount(), size_t{ 0 });
    cr_assert_leq(memory.longestHoldAfterUse().count(), freedLimit.count());
}
