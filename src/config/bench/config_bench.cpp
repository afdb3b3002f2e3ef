#include "bench/fleet_values.h"

#include "config/config_store.h"
#include "config/parse_configuration.h"
#include "config/preview.h"
#include "config/update_codec.h"

#include <malloc.h>

#include <benchmark/benchmark.h>

namespace
{

using namespace mustardtrail;
using namespace mustardtrail::config;

constexpr time_point start{ std::chrono::hours(1) };

fleet_size sizeOf(const benchmark::State &state)
{
    fleet_size size;
    size.backendServers = static_cast<int>(state.range(0));
    size.partsPerDataCentre = static_cast<int>(state.range(1));
    return size;
}

config_update completeUpdate(const fleet_size &size)
{
    return { 1, 0, true, fleetEntries(size, 1), {}, {} };
}

config_update oneChange(const fleet_size &size, std::int64_t base)
{
    const int warmRequests = 64 + static_cast<int>(base % 2);
    return { base + 1, base, false, { { backendServersKey(size, 0, 0), base + 1, backendServersText(size, 0, 0, warmRequests) } }, {}, {} };
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks) + static_cast<double>(mallinfo2().hblkhd);
}

void parseWhole(benchmark::State &state)
{
    const std::vector<config_entry> entries = fleetEntries(sizeOf(state), 1);
    for (auto iteration : state) {
        benchmark::DoNotOptimize(parseConfiguration(entries));
    }
}

void storeFirstRead(benchmark::State &state)
{
    const std::string text = encodeUpdate(completeUpdate(sizeOf(state)));
    const double before = heapBytes();
    double held = 0;
    for (auto iteration : state) {
        config_store store;
        store.apply(*decodeUpdate(text), update_source::peer, start);
        held = heapBytes() - before;
    }
    state.counters["text_bytes"] = static_cast<double>(text.size());
    state.counters["held_bytes"] = held;
}

/// The service sends the whole value of the changed key.
void applyOneChangeFromService(benchmark::State &state)
{
    const fleet_size size = sizeOf(state);
    config_store store;
    store.apply(completeUpdate(size), update_source::service, start);
    for (auto iteration : state) {
        state.PauseTiming();
        const std::string text = encodeUpdate(oneChange(size, store.revision()));
        state.counters["text_bytes"] = static_cast<double>(text.size());
        state.ResumeTiming();
        store.apply(*decodeUpdate(text), update_source::service, start);
    }
}

/// A peer sends the changed element alone.
void applyOneChangeFromPeer(benchmark::State &state)
{
    const fleet_size size = sizeOf(state);
    config_store leader;
    config_store follower;
    leader.apply(completeUpdate(size), update_source::service, start);
    follower.apply(completeUpdate(size), update_source::peer, start);
    for (auto iteration : state) {
        state.PauseTiming();
        leader.apply(oneChange(size, leader.revision()), update_source::service, start);
        const std::string text = encodeUpdate(leader.deltaSince(follower.revision(), start));
        state.counters["text_bytes"] = static_cast<double>(text.size());
        state.ResumeTiming();
        if (follower.apply(*decodeUpdate(text), update_source::peer, start).outcome != apply_outcome::accepted) {
            state.SkipWithError("refused");
        }
    }
}

void encodeDelta(benchmark::State &state)
{
    const fleet_size size = sizeOf(state);
    config_store store;
    store.apply(completeUpdate(size), update_source::service, start);
    store.apply(oneChange(size, 1), update_source::service, start);
    for (auto iteration : state) {
        benchmark::DoNotOptimize(encodeUpdate(store.deltaSince(1, start)));
    }
}

void previewDrain(benchmark::State &state)
{
    const configuration before = **parseConfiguration(fleetEntries(sizeOf(state), 1));
    configuration after = before;
    after.dataCentres.begin()->second.inService = false;
    for (auto iteration : state) {
        benchmark::DoNotOptimize(preview(before, after));
    }
}

void sizes(benchmark::internal::Benchmark *bench)
{
    bench->ArgNames({ "servers", "parts" })->Args({ 36, 1 })->Args({ 1'200, 1 })->Args({ 12'000, 1 })->Args({ 12'000, 13 });
    bench->Unit(benchmark::kMillisecond);
}

BENCHMARK(parseWhole)->Apply(sizes);
BENCHMARK(storeFirstRead)->Apply(sizes);
BENCHMARK(applyOneChangeFromService)->Apply(sizes);
BENCHMARK(applyOneChangeFromPeer)->Apply(sizes);
BENCHMARK(encodeDelta)->Apply(sizes);
BENCHMARK(previewDrain)->Apply(sizes);

} // namespace

BENCHMARK_MAIN();
