#include "placement/bench/numbered_name.h"
#include "placement/owner_scheduler.h"
#include "placement/router.h"

#include <benchmark/benchmark.h>

using namespace mustardtrail;
using namespace mustardtrail::placement;
using placement::bench::numberedName;

namespace
{

constexpr std::size_t enginesPerOwner = 13;

const time_point start{ std::chrono::hours(1) };

/// Engines in one data centre; all owned by this instance, or thirteen by each instance.
std::shared_ptr<membership::fleet_view> makeView(std::size_t engines, bool allOwned)
{
    auto configuration = std::make_shared<config::configuration>();
    auto view = std::make_shared<membership::fleet_view>();
    const data_centre_id centre("dc");
    configuration->dataCentres[centre] = { centre, "region", true };
    for (std::size_t number = 0; number < engines; ++number) {
        config::backend_server server;
        server.id = backend_server_id(numberedName("g", number));
        server.dataCentre = centre;
        server.models = { model_id("m") };
        server.memoryTokens = 1000000000;
        server.coldRequests = 1000;
        server.warmRequests = 1000;
        configuration->backendServers[server.id] = server;
        const instance_id owner(numberedName("e", allOwned ? 0 : number / enginesPerOwner));
        view->backends[server.id] = { owner, true, start - std::chrono::hours(1), 1 };
        view->peers[owner].id = owner;
    }
    view->self = instance_id("e0");
    view->peers.erase(view->self);
    view->selfDataCentre = centre;
    view->confirmedAt = start;
    view->config = std::move(configuration);
    return view;
}

work_item makeWork(std::size_t number)
{
    work_item work;
    work.attempt = attempt_id(numberedName("a", number));
    work.customer = customer_id("c");
    work.model = model_id("m");
    work.promptTokens = 10;
    work.maxNewTokens = 10;
    work.prefixHash = number * 0x9e3779b97f4a7c15ULL;
    work.arrival = start;
    work.firstTokenDeadline = start + std::chrono::seconds(60);
    return work;
}

void routeOne(benchmark::State &state)
{
    router origin;
    origin.onView(makeView(static_cast<std::size_t>(state.range(0)), false), start);
    std::size_t number = 0;
    time_point now = start;
    for (auto _ : state) {
        now += std::chrono::milliseconds(20);
        benchmark::DoNotOptimize(origin.pick(makeWork(number++), {}, now));
    }
}

void admitAndFinishOne(benchmark::State &state)
{
    owner_scheduler owner;
    owner.setView(makeView(static_cast<std::size_t>(state.range(0)), true), start);
    std::size_t number = 0;
    for (auto _ : state) {
        const work_item work = makeWork(number++);
        benchmark::DoNotOptimize(owner.admit(work, {}, start));
        benchmark::DoNotOptimize(owner.onFirstToken(work.attempt, start));
        benchmark::DoNotOptimize(owner.onFinished(work.attempt, start));
    }
}

void takeView(benchmark::State &state)
{
    router origin;
    owner_scheduler owner;
    const auto view = makeView(static_cast<std::size_t>(state.range(0)), false);
    for (auto _ : state) {
        origin.onView(view, start);
        benchmark::DoNotOptimize(owner.setView(view, start));
    }
}

} // namespace

BENCHMARK(routeOne)->Arg(21)->Arg(1300)->Arg(12000);
BENCHMARK(admitAndFinishOne)->Arg(21)->Arg(1300)->Arg(12000);
BENCHMARK(takeView)->Arg(21)->Arg(1300)->Arg(12000)->Unit(benchmark::kMillisecond);
BENCHMARK_MAIN();
