#include "request/backend_attempt.h"
#include "request/key_home.h"
#include "request/request_core.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

using namespace mustardtrail;
using namespace mustardtrail::request;
using std::chrono::milliseconds;

namespace
{

constexpr time_point start = time_point{} + std::chrono::hours(1);

/// Fleet view of `instances` entry instances in nine data centres.
std::shared_ptr<const membership::fleet_view> makeView(int instances)
{
    constexpr int dataCentres = 9;
    auto config = std::make_shared<config::configuration>();
    const class_id lookup("lookup");
    config->classes.emplace(lookup, config::work_class{ lookup, milliseconds(500), milliseconds(5000), true });
    config->customers.emplace(customer_id("c1"), config::customer{ customer_id("c1") });
    config->models.insert(model_id("pay"));
    for (int index = 0; index < dataCentres; ++index) {
        const data_centre_id id(std::to_string(index));
        config->dataCentres.emplace(id, config::data_centre{ id, "r1", true });
    }
    auto view = std::make_shared<membership::fleet_view>();
    view->config = config;
    view->self = instance_id("0");
    view->selfDataCentre = data_centre_id("0");
    view->confirmedAt = start;
    for (int index = 1; index < instances; ++index) {
        membership::peer peer;
        peer.id = instance_id(std::to_string(index));
        peer.dataCentre = data_centre_id(std::to_string(index % dataCentres));
        view->peers.emplace(peer.id, peer);
    }
    return view;
}

request_core makeCore(const std::shared_ptr<const membership::fleet_view> &view)
{
    return request_core({}, view->self, 1, [](const auto &, const auto &, const auto &, time_point) {
        return instance_id("1");
    });
}

caller_request makeRequest(std::int64_t number)
{
    caller_request request;
    request.id = request_id("0-0123456789-" + std::to_string(number));
    request.customer = customer_id("c1");
    request.workClass = class_id("lookup");
    request.model = model_id("pay");
    request.promptTokens = 4000;
    request.maxNewTokens = 1024;
    return request;
}

attempt_id attemptOf(const caller_request &request)
{
    return attempt_id(request.id.str() + ".1");
}

/// One complete request with range(0) answer pieces while range(1) others run.
void wholeRequest(benchmark::State &state)
{
    const auto view = makeView(910);
    request_core core = makeCore(view);
    core.onView(view, start);
    std::int64_t number = 0;
    for (; number < state.range(1); ++number) {
        core.handle(makeRequest(number), start);
    }
    const auto pieces = static_cast<std::uint64_t>(state.range(0));
    for (auto _ : state) {
        const caller_request request = makeRequest(number++);
        const attempt_id attempt = attemptOf(request);
        benchmark::DoNotOptimize(core.handle(request, start));
        core.handle(attempt_accepted{ attempt, backend_server_id("g1") }, start);
        for (std::uint64_t piece = 0; piece < pieces; ++piece) {
            benchmark::DoNotOptimize(core.handle(attempt_output{ attempt, piece, "word", 1 }, start));
        }
        benchmark::DoNotOptimize(core.handle(attempt_finished{ attempt, pieces, "stop" }, start));
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(wholeRequest)->ArgNames({ "pieces", "running" })->Args({ 0, 0 })->Args({ 0, 300 })->Args({ 0, 10000 })->Args({ 200, 300 });

/// A failed first attempt and its retry in a fleet of range(0) instances, including the search for instances to avoid.
void retriedRequest(benchmark::State &state)
{
    const auto view = makeView(static_cast<int>(state.range(0)));
    request_core core = makeCore(view);
    core.onView(view, start);
    std::int64_t number = 0;
    for (auto _ : state) {
        const caller_request request = makeRequest(number++);
        const error failure{ error_code::backend_refused, verdict::not_run, "", {} };
        core.handle(request, start);
        benchmark::DoNotOptimize(core.handle(attempt_failed{ attemptOf(request), failure, backend_server_id("g1") }, start));
        core.handle(caller_gone{ request.id }, start);
    }
}
BENCHMARK(retriedRequest)->ArgName("instances")->Arg(9)->Arg(910);

/// One attempt at its owner with range(0) answer pieces.
void backendAttempt(benchmark::State &state)
{
    const auto pieces = static_cast<std::uint64_t>(state.range(0));
    for (auto _ : state) {
        const auto kind = backend_attempt::kind::engine;
        backend_attempt attempt({}, kind, attempt_id("0-0123456789-1.1"), backend_server_id("g1"), start + milliseconds(5000));
        attempt.start(start);
        attempt.handle(request_sent{ 1 }, start);
        for (std::uint64_t piece = 0; piece < pieces; ++piece) {
            benchmark::DoNotOptimize(attempt.handle(backend_chunk{ 1, piece, "word", 1 }, start));
        }
        attempt.handle(backend_finished{ 1, pieces, "stop" }, start);
    }
}
BENCHMARK(backendAttempt)->ArgName("pieces")->Arg(0)->Arg(200);

/// Choice of the homes of a key at the origin.
void chooseHomes(benchmark::State &state)
{
    const auto view = makeView(static_cast<int>(state.range(0)));
    std::int64_t number = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(keyHomes(*view, customer_id("c1"), std::to_string(number++)));
    }
}
BENCHMARK(chooseHomes)->ArgName("instances")->Arg(9)->Arg(910);

/// Heap per running request, with range(0) bytes delivered to its caller.
void memoryOfRunning(benchmark::State &state)
{
    constexpr std::int64_t requests = 10000;
    const auto view = makeView(910);
    const std::string text(static_cast<std::size_t>(state.range(0)), 'x');
    for (auto _ : state) {
        request_core core = makeCore(view);
        core.onView(view, start);
        const std::size_t before = mallinfo2().uordblks;
        for (std::int64_t number = 0; number < requests; ++number) {
            const caller_request request = makeRequest(number);
            core.handle(request, start);
            if (!text.empty()) {
                core.handle(attempt_output{ attemptOf(request), 0, text, 1 }, start);
            }
        }
        const std::size_t after = mallinfo2().uordblks;
        state.counters["bytes_per_request"] = static_cast<double>(after - before) / static_cast<double>(requests);
    }
}
BENCHMARK(memoryOfRunning)->ArgName("delivered")->Arg(0)->Arg(1000)->Arg(4000)->Iterations(1);

/// Heap per key held by a home.
void memoryOfKeys(benchmark::State &state)
{
    constexpr std::int64_t keys = 10000;
    const auto view = makeView(1);
    auto alone = std::make_shared<membership::fleet_view>(*view);
    auto config = std::make_shared<config::configuration>(*view->config);
    std::erase_if(config->dataCentres, [](const auto &entry) {
        return entry.first != data_centre_id("0");
    });
    alone->config = config;
    for (auto _ : state) {
        key_home home({}, alone->self);
        home.onView(alone);
        const std::size_t before = mallinfo2().uordblks;
        for (std::int64_t number = 0; number < keys; ++number) {
            const std::string key = "0123456789abcdef0123456789-" + std::to_string(number);
            home.claim({ makeRequest(number).id, alone->self, customer_id("c1"), key, 1, milliseconds(5000) }, start);
        }
        state.counters["bytes_per_key"] = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(home.size());
        state.counters["keys"] = static_cast<double>(home.size());
    }
}
BENCHMARK(memoryOfKeys)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
