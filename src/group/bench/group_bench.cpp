#include "group/group_planner.h"
#include "group/memory_reconciler.h"
#include "group/reservation_table.h"

#include <benchmark/benchmark.h>

using namespace mustardtrail;
using namespace mustardtrail::group;

namespace
{

constexpr time_point start{ std::chrono::hours(1) };
constexpr token_count memoryTokens = 300'000;
constexpr token_count longestPrompt = 1'000'000;
constexpr token_count answerTokens = 2'000;
constexpr int enginesOfOneCentre = 1333;

std::string numbered(std::string prefix, std::int64_t number)
{
    prefix += std::to_string(number);
    return prefix;
}

/// Engines spread over data centres of at most 1,333 each, all of one model.
membership::fleet_view makeView(std::int64_t engines)
{
    auto config = std::make_shared<config::configuration>();
    membership::fleet_view view;
    view.self = instance_id("e1");
    view.selfDataCentre = data_centre_id("dc0");
    view.confirmedAt = start;
    for (std::int64_t number = 0; number < engines; ++number) {
        config::backend_server server;
        server.id = backend_server_id(numbered("engine-", number));
        server.dataCentre = data_centre_id(numbered("dc", number / enginesOfOneCentre));
        server.models = { model_id("pay") };
        server.memoryTokens = memoryTokens;
        config->backendServers[server.id] = server;
        view.backends[server.id] = { view.self, true, {}, 1 };
    }
    view.config = config;
    return view;
}

void planLongestPrompt(benchmark::State &state)
{
    const membership::fleet_view view = makeView(state.range(0));
    std::map<backend_server_id, token_count> free;
    std::int64_t number = 0;
    for (const auto &[id, assignment] : view.backends) {
        free[id] = memoryTokens - (number++ * 7919) % 200'000;
    }
    const auto freeTokens = [&](const backend_server_id &id) {
        return std::optional(free.at(id));
    };
    const plan_request request{ model_id("pay"), longestPrompt, answerTokens, {} };
    for ([[maybe_unused]] auto step : state) {
        benchmark::DoNotOptimize(planGroup(view, freeTokens, request, {}));
    }
}

void reconcileOneEngine(benchmark::State &state)
{
    membership::fleet_view view = makeView(1);
    const backend_server_id engine = view.backends.begin()->first;
    memory_reconciler reconciler({}, [](const backend_server_id &, const engine_group_id &) {
        return true;
    });
    engine_holdings holdings;
    holdings.report.backend = engine;
    holdings.report.takenAt = start;
    known_streams streams;
    for (std::int64_t number = 0; number < state.range(0); ++number) {
        const attempt_id attempt(numbered("entry-17-attempt-", number));
        holdings.report.streams.push_back({ attempt, 1000, 1 });
        streams[attempt] = start;
    }
    holdings.groups.push_back({ engine_group_id("entry-17-attempt-1.1"), 200'000, std::chrono::milliseconds(6000) });
    for ([[maybe_unused]] auto step : state) {
        benchmark::DoNotOptimize(reconciler.onHoldings(holdings, streams, view, start));
    }
}

void reserveAndRelease(benchmark::State &state)
{
    reservation_table table({}, [](const backend_server_id &, const group_key &) {
        return engine_memory{ memoryTokens, 1 };
    });
    const backend_server_id engine("engine-1");
    std::uint64_t number = 0;
    for ([[maybe_unused]] auto step : state) {
        const group_key key{ group_id("entry-17-attempt-1"), ++number };
        benchmark::DoNotOptimize(table.reserve({ key, engine, 1000, std::chrono::milliseconds(6000), 1 }, start));
        table.release({ key, engine }, start);
    }
}

} // namespace

BENCHMARK(planLongestPrompt)->Arg(21)->Arg(enginesOfOneCentre)->Arg(12000)->Unit(benchmark::kMicrosecond);
BENCHMARK(reconcileOneEngine)->Arg(8)->Arg(32)->Arg(128)->Unit(benchmark::kMicrosecond);
BENCHMARK(reserveAndRelease)->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
