#include "base/json_access.h"
#include "proof/bench/benches.h"
#include "proof/bench/samples.h"
#include "proof/fleet/background_load.h"
#include "proof/fleet/process_fleet.h"

#include <csignal>
#include <cstdio>
#include <functional>
#include <thread>

namespace mustardtrail::proof
{

namespace
{

using wall = std::chrono::steady_clock;

constexpr std::chrono::milliseconds pollPause{ 5 };
constexpr std::chrono::seconds drainWatched{ 4 };
constexpr std::chrono::seconds changeLimit{ 20 };
constexpr int loadThreads = 6;
constexpr int answerTokens = 10;

std::int64_t revisionOf(const fleet_instance &instance)
{
    return json_access::numberOr(getJson(instance.admin, "/dump"), "revision", -1);
}

std::int64_t workAt(const fleet_backend &engine)
{
    return json_access::numberOr(control(engine.control, "{}"), "requests", 0);
}

std::int64_t workIn(const process_fleet &fleet, const std::string &dataCentre)
{
    std::int64_t requests = 0;
    for (const fleet_backend &engine : fleet.engines) {
        if (engine.dataCentre == dataCentre) {
            requests += workAt(engine);
        }
    }
    return requests;
}

/// Time until every instance has a revision above the given one; the limit when one never had.
std::chrono::nanoseconds untilInForce(const process_fleet &fleet, std::int64_t above)
{
    const auto start = wall::now();
    size_t instance = 0;
    while (instance < fleet.instances.size() && wall::now() - start < changeLimit) {
        if (revisionOf(fleet.instances[instance]) > above) {
            ++instance;
        } else {
            std::this_thread::sleep_for(pollPause);
        }
    }
    return wall::now() - start;
}

/// Time of the last change of a count of requests.
std::chrono::nanoseconds lastNewWork(const std::function<std::int64_t()> &requests)
{
    const auto start = wall::now();
    std::chrono::nanoseconds last{ 0 };
    std::int64_t before = requests();
    while (wall::now() - start < drainWatched) {
        std::this_thread::sleep_for(pollPause);
        const std::int64_t now = requests();
        if (now != before) {
            last = wall::now() - start;
            before = now;
        }
    }
    return last;
}

void signalOtherViews(process_fleet &fleet, int number)
{
    for (size_t instance = 1; instance < fleet.instances.size(); ++instance) {
        fleet.instances[instance].viewProcess->signal(number);
    }
}

/// The first data centre reads a change, then the service goes down; the others can only hear of it from peers.
std::chrono::nanoseconds changeFromPeers(process_fleet &fleet, int run)
{
    const std::int64_t before = revisionOf(fleet.instances[0]);
    signalOtherViews(fleet, SIGSTOP);
    fleet.publish("instances", R"([{"id":"e1","in_service":true},{"id":"x)" + std::to_string(run) + R"(","in_service":true}])");
    const auto end = wall::now() + changeLimit;
    while (revisionOf(fleet.instances[0]) <= before && wall::now() < end) {
        std::this_thread::sleep_for(pollPause);
    }
    control(fleet.platformControl, R"({"config_mode":"down"})");
    signalOtherViews(fleet, SIGCONT);
    const auto took = untilInForce(fleet, before);
    control(fleet.platformControl, R"({"config_mode":"up"})");
    std::this_thread::sleep_for(std::chrono::seconds(1));
    return took;
}

/// The list calls an engine leaving, then live again; the time counts from the change of the list's content.
std::chrono::nanoseconds leavingBackend(process_fleet &fleet, const fleet_backend &engine)
{
    fleet.listBackend(engine, "leaving");
    const auto last = lastNewWork([&] {
        return workAt(engine);
    });
    fleet.listBackend(engine, "live");
    const std::int64_t before = workAt(engine);
    const auto end = wall::now() + changeLimit;
    while (workAt(engine) == before && wall::now() < end) {
        std::this_thread::sleep_for(pollPause);
    }
    return last;
}

void printTimes(const char *what, const samples &times)
{
    std::printf(
        "| %s | %zu | %s | %s |\n", what, times.count(), secondText(times.quantile(0.5)).c_str(), secondText(times.worst()).c_str());
}

} // namespace

bool benchChanges(const std::string &binaries, int runs)
{
    fleet_options options;
    options.binaries = binaries;
    options.enginesPerDataCentre = { 2, 2, 2 };
    process_fleet fleet(options);
    if (!fleet.start()) {
        return false;
    }
    samples drained;
    samples inForce;
    samples fromPeers;
    background_load load(fleet, { 0, 1, 2 }, loadThreads, answerTokens);
    std::this_thread::sleep_for(drainWatched);
    for (int run = 0; run < runs; ++run) {
        const std::int64_t before = revisionOf(fleet.instances[0]);
        fleet.publishDataCentres({ { "dc1", false }, { "dc2", true }, { "dc3", true } });
        drained.add(lastNewWork([&] {
            return workIn(fleet, "dc1");
        }));
        const std::int64_t back = revisionOf(fleet.instances[0]);
        fleet.publishDataCentres({ { "dc1", true }, { "dc2", true }, { "dc3", true } });
        inForce.add(back > before ? untilInForce(fleet, back) : changeLimit);
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    for (int run = 0; run < runs; ++run) {
        fromPeers.add(changeFromPeers(fleet, run));
    }
    samples leaving;
    for (int run = 0; run < runs; ++run) {
        leaving.add(leavingBackend(fleet, fleet.engines.front()));
    }
    load.stop();
    std::printf("| what | runs | p50, s | worst, s |\n| --- | --- | --- | --- |\n");
    printTimes("last new request in a drained data centre, after the change", drained);
    printTimes("change in force on all instances", inForce);
    printTimes("change in force on all, read by one data centre before the service went down", fromPeers);
    printTimes(("last new request at a leaving engine, after the list changed, of which its lag is " + options.liveLag).c_str(), leaving);
    std::printf("requests meanwhile: %d whole, %d refused as not run, %zu failed; service at dc1's engines at the end: %lld requests\n",
        load.finished(),
        load.refusedNotRun(),
        load.faults().size(),
        static_cast<long long>(workIn(fleet, "dc1")));
    if (!load.faults().empty()) {
        std::printf("first failure: %s\n", load.faults().front().c_str());
    }
    return fleet.stop() && load.faults().empty();
}

} // namespace mustardtrail::proof
