#include "proof/bench/benches.h"
#include "proof/fleet/background_load.h"
#include "proof/fleet/process_fleet.h"

#include <csignal>
#include <cstdio>

namespace mustardtrail::proof
{

namespace
{

constexpr int loadThreads = 12;
constexpr int answerTokens = 40;
constexpr int waitSeconds = 30;
constexpr std::chrono::seconds settle{ 2 };

bool stopAndStart(process_fleet &fleet, background_load &load, size_t stopped)
{
    fleet_instance &instance = fleet.instances[stopped];
    instance.viewProcess->signal(SIGTERM);
    instance.entryProcess->signal(SIGTERM);
    load.useInstances({ (stopped + 1) % 3, (stopped + 2) % 3 });
    const bool isClean = instance.entryProcess->wait(waitSeconds) == 0 && instance.viewProcess->wait(waitSeconds) == 0;
    fleet.startInstance(instance);
    const bool isReady = fleet.waitReady(instance, waitSeconds);
    load.useInstances({ 0, 1, 2 });
    std::this_thread::sleep_for(settle);
    return isClean && isReady;
}

} // namespace

bool benchPlannedStop(const std::string &binaries)
{
    fleet_options options;
    options.binaries = binaries;
    options.enginesPerDataCentre = { 2, 2, 2 };
    process_fleet fleet(options);
    if (!fleet.start()) {
        return false;
    }
    background_load load(fleet, { 0, 1, 2 }, loadThreads, answerTokens);
    std::this_thread::sleep_for(settle);
    bool isClean = true;
    for (size_t stopped = 0; stopped < fleet.instances.size(); ++stopped) {
        isClean = stopAndStart(fleet, load, stopped) && isClean;
    }
    load.stop();
    std::printf("| instances stopped in turn | ended with 0 | whole answers | refused as not run | lost or wrong |\n"
                "| --- | --- | --- | --- | --- |\n| %zu | %s | %d | %d | %zu |\n",
        fleet.instances.size(),
        isClean ? "all" : "not all",
        load.finished(),
        load.refusedNotRun(),
        load.faults().size());
    if (!load.faults().empty()) {
        std::printf("first failure: %s\n", load.faults().front().c_str());
    }
    return fleet.stop() && isClean && load.faults().empty();
}

} // namespace mustardtrail::proof
