#include "programs/gateway/background_worker.h"

#include "programs/gateway/tests/ending_context.h"
#include "programs/gateway/tests/worker_gate.h"
#include "testing/expect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <stdexcept>
#include <string>
#include <vector>

using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
namespace asio = boost::asio;

namespace
{

asio::awaitable<void> append(background_worker &worker, int number, std::vector<int> &seen)
{
    std::function<int()> work = [number] {
        return number;
    };
    const int computed = co_await worker.compute(std::move(work));
    seen.push_back(computed);
}

asio::awaitable<void> fail(background_worker &worker, std::string &seen)
{
    std::function<int()> work = []() -> int {
        throw std::runtime_error("damaged");
    };
    try {
        co_await worker.compute(std::move(work));
    } catch (const std::runtime_error &thrown) {
        seen = thrown.what();
    }
}

} // namespace

Test(background_worker, resultsComeInTheOrderOfTheWork)
{
    asio::io_context loop(1);
    background_worker worker(loop.get_executor());
    std::vector<int> seen;
    for (int number = 0; number < 100; ++number) {
        asio::co_spawn(loop, append(worker, number, seen), asio::detached);
    }
    while (seen.size() < 100) {
        loop.run_one();
    }
    for (int number = 0; number < 100; ++number) {
        expectEqual(seen[number], number);
    }
}

Test(background_worker, theLoopRunsWhileTheWorkerIsHeld)
{
    asio::io_context loop(1);
    background_worker worker(loop.get_executor());
    worker_gate gate(worker);
    std::vector<int> seen;
    asio::co_spawn(loop, append(worker, 1, seen), asio::detached);
    bool hasRun = false;
    asio::post(loop, [&hasRun] {
        hasRun = true;
    });
    loop.poll();
    cr_assert(hasRun);
    cr_assert(seen.empty());
    expectEqual(worker.unfinished(), 2U);
    gate.open();
    while (seen.empty()) {
        loop.run_one();
    }
}

Test(background_worker, whatTheWorkThrowsReachesTheLoopAndTheNextWorkRuns)
{
    asio::io_context loop(1);
    background_worker worker(loop.get_executor());
    std::string problem;
    std::vector<int> seen;
    asio::co_spawn(loop, fail(worker, problem), asio::detached);
    asio::co_spawn(loop, append(worker, 1, seen), asio::detached);
    while (seen.empty()) {
        loop.run_one();
    }
    expectEqual(problem, "damaged");
}

Test(background_worker, aStopWaitsForTheWorkThatRunsAndDropsTheRest)
{
    asio::io_context loop(1);
    background_worker worker(loop.get_executor());
    std::promise<void> begun;
    std::promise<void> gate;
    bool isFinished = false;
    bool hasRunTheRest = false;
    worker.post([&begun, &isFinished, opened = gate.get_future().share()] {
        begun.set_value();
        opened.wait();
        isFinished = true;
    });
    worker.post([&hasRunTheRest] {
        hasRunTheRest = true;
    });
    begun.get_future().wait();
    std::thread opener([&worker, &gate] {
        while (worker.unfinished() > 1) { // The stop has dropped the rest.
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        gate.set_value();
    });
    worker.stop();
    opener.join();
    cr_assert(isFinished);
    cr_assert_not(hasRunTheRest);
    worker.stop();
    worker.post([&hasRunTheRest] {
        hasRunTheRest = true;
    });
    expectEqual(worker.unfinished(), 0U);
}

// At the end of a process the loop's coroutines are destroyed while the worker's thread still runs.
Test(background_worker, aResultThatNoCoroutineAwaitsAnyLongerIsDropped)
{
    std::vector<int> seen;
    ending_context loop;
    background_worker worker(loop.get_executor());
    worker_gate gate(worker);
    asio::co_spawn(loop, append(worker, 1, seen), asio::detached);
    loop.poll();
    expectEqual(worker.unfinished(), 2U);
    loop.destroyHandlers();
    gate.open();
    while (worker.unfinished() > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    cr_assert(seen.empty());
}
