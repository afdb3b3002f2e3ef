// Incident LOST, second report: memory at a sound helper expired during its silence, and the answer was cut off.

#include "programs/gateway/reservation_set.h"
#include "programs/gateway/tests/engine_memory.h"
#include "programs/gateway/tests/send_bench.h"
#include "testing/expect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <deque>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr unsigned engineCount = 3;
constexpr milliseconds eventInterval{ 100 };
constexpr int phaseCount = 10; ///< Of the silence after the grant; they span two renewals.
constexpr milliseconds phaseStep{ 100 };
constexpr milliseconds playTime{ 6'000 };

/// A send to three engines, one of which is silent for a while.
struct split_send {
    std::array<engine_memory, engineCount> memories;
    std::shared_ptr<reservation_set> reservations;
    milliseconds silence{};
    time_point silentFrom{};
    bool isPaused = false; ///< The answer waits for the silent engine.

    bool isSilentAt(time_point now) const
    {
        return now >= silentFrom && now < silentFrom + silence;
    }
};

asio::awaitable<void> waitFor(asio::any_io_executor executor, milliseconds time)
{
    asio::steady_timer timer(executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

/// Loses the calls that arrive during its silence.
http::handler engineOf(split_send &send, size_t index, const monotonic_clock &clock)
{
    return [&send, index, &clock](http::exchange &exchange) -> asio::awaitable<void> {
        if (index == 0 && send.isSilentAt(clock.now())) {
            co_await waitFor(exchange.executor(), seconds(60));
        }
        co_await send.memories[index].serve(exchange);
    };
}

asio::awaitable<void> play(send_bench &bench, split_send &send, milliseconds phase)
{
    const bool isGranted = co_await send.reservations->acquire();
    cr_assert(isGranted);
    send.silentFrom = bench.context().clock.now() + phase;
    for (engine_memory &memory : send.memories) {
        memory.beginUse();
    }
    while (true) {
        if (!send.isPaused || !send.isSilentAt(bench.context().clock.now())) {
            send.reservations->recordUse();
        }
        co_await waitFor(bench.executor(), eventInterval);
    }
}

size_t lapsedAfterSilence(milliseconds silence)
{
    send_bench bench;
    std::deque<split_send> sends;
    for (int number = 0; number < 2 * phaseCount; ++number) {
        split_send &send = sends.emplace_back();
        send.isPaused = number < phaseCount;
        send.silence = silence;
        send.silentFrom = time_point::max() - silence;
        std::vector<reservation_set::share> shares;
        for (size_t index = 0; index < engineCount; ++index) {
            const backend_server_id id("i-" + std::to_string(index));
            shares.push_back({ index + 1, id, bench.addServer(engineOf(send, index, bench.context().clock)), 100 });
        }
        send.reservations = std::make_shared<reservation_set>(bench.context(), bench.executor(), sends.size(), std::move(shares));
        asio::co_spawn(bench.executor(), play(bench, send, number % phaseCount * phaseStep), asio::detached);
    }
    bench.runFor(playTime);
    size_t lapsed = 0;
    for (const split_send &send : sends) {
        for (const engine_memory &memory : send.memories) {
            lapsed += memory.lapsedCount();
        }
    }
    return lapsed;
}

} // namespace

Test(silent_helper, aShortSilenceLeavesTheMemoryOfAnAnswerThatGoesOn)
{
    expectEqual(lapsedAfterSilence(milliseconds(900)), size_t{ 0 });
}

Test(silent_helper, aSilenceOfASecondLeavesTheMemoryOfAnAnswerThatGoesOn)
{
    expectEqual(lapsedAfterSilence(milliseconds(1'200)), size_t{ 0 });
}

Test(silent_helper, theLongestSilenceOfASoundHelperLeavesTheMemoryOfAnAnswerThatGoesOn)
{
    expectEqual(lapsedAfterSilence(milliseconds(1'700)), size_t{ 0 });
}
