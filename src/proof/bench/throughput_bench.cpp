#include "proof/bench/benches.h"
#include "proof/bench/closed_loop.h"
#include "proof/bench/process_usage.h"
#include "proof/fleet/expected_answer.h"
#include "proof/fleet/process_fleet.h"

#include <cstdio>

namespace mustardtrail::proof
{

namespace
{

constexpr size_t promptBytes = 4'000;
constexpr int maxTokens = 4;
constexpr int connections = 48; ///< Below the 64 requests that the four engines take at once.
constexpr std::chrono::seconds warmUp{ 5 };
constexpr std::chrono::seconds measured{ 10 };

} // namespace

bool benchThroughput(const std::string &binaries)
{
    fleet_options options;
    options.binaries = binaries;
    options.enginesPerDataCentre = { 4, 0, 0 };
    options.services = 0;
    options.engineMemory = 2'000'000;
    options.prefillTokensPerSecond = 20'000'000;
    options.decodeTokensPerSecond = 10'000;
    process_fleet fleet(options);
    if (!fleet.start()) {
        return false;
    }
    const std::string expected = expectedAnswer(promptBytes, maxTokens);
    const http::request_message message = completionRequest("benchmark", promptBytes, maxTokens);
    closed_loop(fleet.instances[0].callers, message, expected, connections, warmUp).wait();
    const int process = fleet.instances[0].entryProcess->processId();
    const auto processorBefore = processorTime(process);
    const auto start = std::chrono::steady_clock::now();
    closed_loop load(fleet.instances[0].callers, message, expected, connections, measured);
    load.wait();
    const std::chrono::duration<double> took = load.endedAt() - start;
    const std::chrono::duration<double, std::milli> processor = processorTime(process) - processorBefore;
    const int answered = std::max(load.finished(), 1);
    std::printf("| connections | requests/s | failed or refused | whole p50, ms | p99 | processor time of the entry a request, ms |\n"
                "| --- | --- | --- | --- | --- | --- |\n| %d | %.0f | %d | %s | %s | %.3f |\n",
        connections,
        load.finished() / took.count(),
        load.failed(),
        milliText(load.took().quantile(0.5)).c_str(),
        milliText(load.took().quantile(0.99)).c_str(),
        processor.count() / answered);
    if (load.failed() != 0) {
        std::printf("first failure: %s\n", load.firstFailure().c_str());
    }
    return fleet.stop() && load.failed() == 0;
}

} // namespace mustardtrail::proof
