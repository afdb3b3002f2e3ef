#include "base/json_access.h"
#include "gateway/fleet_state.h"
#include "platform/configuration.h"
#include "platform/published_changes.h"
#include "programs/gateway/relayed_changes.h"

#include <benchmark/benchmark.h>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/monotonic_resource.hpp>

namespace json = boost::json;
using namespace mustardtrail;
using namespace mustardtrail::gateway;

namespace
{

constexpr unsigned services = 20;
constexpr unsigned customers = 100;
constexpr unsigned servers = 300;
const time_point start{ std::chrono::hours(1) };

std::string quoted(std::string_view name, unsigned number)
{
    return "\"" + std::string(name) + std::to_string(number) + "\"";
}

/// A configuration as the users' platform writes it. Names and prefixes differ as much as those of real routes do.
std::string configurationOf(unsigned routes)
{
    random_source random(5);
    std::string text = R"({"version":7,"routes":[)";
    for (unsigned index = 0; index < routes; ++index) {
        const std::string name = std::to_string(random.below(1'000'000'000));
        text += index > 0 ? "," : "";
        text += R"({"name":"r-)" + name + R"(","host":"h)" + std::to_string(index % 5) + R"(.example","path_prefix":"/)" + name
            + R"(/","kind":"streaming","timeout_ms":10000,"target_latency_ms":400,"service":)" + quoted("s", index % services)
            + R"(,"max_attempts":2,"resumable":true,"sticky":true,"target_gap_ms":250,"priority":1})";
    }
    text += R"(],"services":[)";
    for (unsigned index = 0; index < services; ++index) {
        text += index > 0 ? "," : "";
        text += R"({"name":)" + quoted("s", index) + R"(,"cold_per_s":5,"engine":{"slots":8,"kv_cache_tokens":64000,"read_per_s":206000,)"
            + R"("pairs_per_m":0.138,"step_ms":1.02,"per_seq_ms":0.002,"context_per_k":0.004,"stride":43}})";
    }
    text += R"(],"tenants":[)";
    for (unsigned index = 0; index < customers; ++index) {
        text += index > 0 ? "," : "";
        text += R"({"name":)" + quoted("c", index) + R"(,"api_keys":[)" + quoted("key-of-customer-", index) + "]}";
    }
    return text + "]}";
}

std::string storeAnswer(const std::string &value)
{
    namespace codec = boost::beast::detail::base64;
    std::string encoded(codec::encoded_size(value.size()), '\0');
    encoded.resize(codec::encode(encoded.data(), value.data(), value.size()));
    return R"({"store_revision":7,"events":[{"key":"op/config","revision":7,"value":")" + encoded + R"("}]})";
}

std::vector<platform::store_change> configChange(unsigned routes)
{
    return { { "op/config", configurationOf(routes), 7, false } };
}

std::shared_ptr<const published_config> readConfig(unsigned routes)
{
    return std::make_shared<const published_config>(*platform::readConfiguration(configurationOf(routes)));
}

unsigned size(const benchmark::State &state)
{
    return static_cast<unsigned>(state.range(0));
}

void readStoreAnswer(benchmark::State &state)
{
    const std::string body = storeAnswer(configurationOf(size(state)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(platform::readWatchReply(body));
    }
}

/// The document tree alone, with its destruction; part of `readConfiguration`.
void parseJson(benchmark::State &state)
{
    const std::string text = configurationOf(size(state));
    for (auto _ : state) {
        json::monotonic_resource memory;
        benchmark::DoNotOptimize(json_access::objectFromText(text, &memory));
    }
}

void readConfiguration(benchmark::State &state)
{
    const std::string text = configurationOf(size(state));
    for (auto _ : state) {
        benchmark::DoNotOptimize(platform::readConfiguration(text));
    }
}

/// With the destruction of the fleet state that holds the table.
void putIntoForce(benchmark::State &state)
{
    const config_published published{ readConfig(size(state)) };
    for (auto _ : state) {
        fleet_state fleet(1, data_centre_id("dc"), {}, [](std::string_view, std::string_view, std::string_view) {});
        fleet.apply(published, start, start);
        benchmark::DoNotOptimize(fleet.configVersion());
    }
}

void destroyConfiguration(benchmark::State &state)
{
    const auto config = readConfig(size(state));
    for (auto _ : state) {
        state.PauseTiming();
        auto copy = std::make_unique<published_config>(*config);
        state.ResumeTiming();
        copy.reset();
    }
}

void encodeForRelay(benchmark::State &state)
{
    const auto changes = configChange(size(state));
    for (auto _ : state) {
        benchmark::DoNotOptimize(encodeRelayedChanges(changes));
    }
}

void decodeFromRelay(benchmark::State &state)
{
    const std::string bytes = encodeRelayedChanges(configChange(size(state)));
    state.counters["bytes"] = static_cast<double>(bytes.size());
    for (auto _ : state) {
        benchmark::DoNotOptimize(decodeRelayedChanges(bytes));
    }
}

/// All that one change costs at an instance that does not relay it, the configuration before it destroyed.
void wholeChange(benchmark::State &state)
{
    const std::string body = storeAnswer(configurationOf(size(state)));
    for (auto _ : state) {
        const auto reply = platform::readWatchReply(body);
        const auto change = platform::readPublishedChange(reply->changes.front());
        fleet_state fleet(1, data_centre_id("dc"), {}, [](std::string_view, std::string_view, std::string_view) {});
        fleet.apply(*change, start, start);
        benchmark::DoNotOptimize(fleet.configVersion());
    }
}

void listServers(benchmark::State &state)
{
    std::vector<platform::store_change> changes;
    for (unsigned index = 0; index < servers; ++index) {
        changes.push_back({ "servers/s" + std::to_string(index),
            R"({"address":"10.0.0.1:80","service":)" + quoted("s", index % services)
                + R"(,"zone":"dc","state":"ready","slots":8,"cold_left_ms":0,"born":1})",
            7,
            false });
    }
    for (auto _ : state) {
        fleet_state fleet(1, data_centre_id("dc"), {}, [](std::string_view, std::string_view, std::string_view) {});
        for (const platform::store_change &change : changes) {
            if (const auto published = platform::readPublishedChange(change)) {
                fleet.apply(*published, start, start);
            }
        }
        benchmark::DoNotOptimize(fleet.servers.size());
    }
}

void sizes(benchmark::internal::Benchmark *bench)
{
    bench->Arg(300)->Arg(900)->Arg(2'000)->Unit(benchmark::kMicrosecond);
}

BENCHMARK(readStoreAnswer)->Apply(sizes);
BENCHMARK(parseJson)->Apply(sizes);
BENCHMARK(readConfiguration)->Apply(sizes);
BENCHMARK(putIntoForce)->Apply(sizes);
BENCHMARK(destroyConfiguration)->Apply(sizes);
BENCHMARK(encodeForRelay)->Apply(sizes);
BENCHMARK(decodeFromRelay)->Apply(sizes);
BENCHMARK(wholeChange)->Apply(sizes);
BENCHMARK(listServers)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
