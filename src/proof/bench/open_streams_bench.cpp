#include "base/json_access.h"
#include "proof/bench/benches.h"
#include "proof/bench/closed_loop.h"
#include "proof/bench/process_usage.h"
#include "proof/fleet/expected_answer.h"
#include "proof/fleet/process_fleet.h"

#include <algorithm>
#include <cstdio>

namespace mustardtrail::proof
{

namespace
{

constexpr size_t promptBytes = 4'000;
constexpr int maxTokens = 60; ///< 30 s at the engines' rate.
constexpr std::chrono::seconds warmUp{ 10 };
constexpr std::chrono::seconds watched{ 45 };
constexpr std::chrono::seconds openFor{ 1 }; ///< No stream is opened after this.
constexpr std::chrono::milliseconds samplePause{ 200 };

const char *openClass = R"([{"id":"lookup","first_token_target":"10s","total_target":"30s","repeatable":true},
    {"id":"open","first_token_target":"60s","total_target":"120s","repeatable":true}])";

std::string wideEngines(const process_fleet &fleet, const fleet_options &options)
{
    std::string value;
    for (const fleet_backend &engine : fleet.engines) {
        value += value.empty() ? "" : ",";
        value.append(R"({"id":")").append(engine.id).append(R"(","address":")").append(toString(engine.address));
        value.append(R"(","in_service":true,"kind":"engine","models":["pay"],"model_version":"1","checks_fencing":true,)");
        value.append(R"("warm_requests":400,"cold_requests":2,"memory_tokens":)").append(std::to_string(options.engineMemory)).append("}");
    }
    return "[" + value + "]";
}

} // namespace

bool benchOpenStreams(const std::string &binaries, int streams)
{
    fleet_options options;
    options.binaries = binaries;
    options.enginesPerDataCentre = { 4, 0, 0 };
    options.services = 0;
    options.engineMemory = 4'000'000;
    options.prefillTokensPerSecond = 2'000'000;
    options.decodeTokensPerSecond = 2;
    process_fleet fleet(options);
    if (!fleet.start()) {
        return false;
    }
    fleet.publish("classes", openClass);
    fleet.publish("backend_servers/dc1", wideEngines(fleet, options));
    const fleet_instance &entry = fleet.instances[0];
    closed_loop(entry.callers, completionRequest("lookup", promptBytes, 1), expectedAnswer(promptBytes, 1), 64, warmUp).wait();
    const int process = entry.entryProcess->processId();
    const long before = residentKiB(process);
    closed_loop load(
        entry.callers, completionRequest("open", promptBytes, maxTokens), expectedAnswer(promptBytes, maxTokens), streams, openFor);
    long resident = 0;
    std::int64_t open = 0;
    const auto end = std::chrono::steady_clock::now() + watched;
    while (std::chrono::steady_clock::now() < end && load.finished() + load.failed() < streams) {
        open = std::max(open, json_access::numberOr(getJson(entry.admin, "/dump"), "running_requests", 0));
        resident = std::max(resident, residentKiB(process));
        std::this_thread::sleep_for(samplePause);
    }
    load.wait();
    std::printf(
        "| asked for | most requests in the dump | before, KiB | most resident, KiB | a stream, KiB | whole answers | failed or refused |\n"
        "| --- | --- | --- | --- | --- | --- | --- |\n| %d | %lld | %ld | %ld | %.1f | %d | %d |\n",
        streams,
        static_cast<long long>(open),
        before,
        resident,
        static_cast<double>(resident - before) / streams,
        load.finished(),
        load.failed());
    if (load.failed() != 0) {
        std::printf("first failure: %s\n", load.firstFailure().c_str());
    }
    return fleet.stop() && load.failed() == 0;
}

} // namespace mustardtrail::proof
