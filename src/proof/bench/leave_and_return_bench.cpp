#include "proof/bench/benches.h"
#include "proof/fleet/process_fleet.h"

#include "programs/load/load_plan.h"
#include "programs/load/load_run.h"
#include "programs/load/report.h"

#include <cstdio>
#include <functional>

namespace mustardtrail::proof
{

namespace
{

constexpr std::chrono::seconds phaseLength{ 15 };
constexpr double requestsPerSecond = 120;
constexpr token_count longestPrompt = 150'000;
constexpr int answerTokens = 24;
constexpr int threads = 4;

struct service_phase {
    const char *name;
    std::function<void()> begin; ///< Change of the configuration at the start of the phase.
};

load::load_options loadFor(const process_fleet &fleet, std::uint64_t seed)
{
    load::load_options options;
    for (const fleet_instance &instance : fleet.instances) {
        options.entries.push_back(instance.callers);
    }
    options.customers = { "hotel", "band" };
    options.shortClass = "lookup";
    options.middleClass = "benchmark";
    options.longClass = "review";
    options.model = "pay";
    options.requestsPerSecond = requestsPerSecond;
    options.duration = phaseLength;
    options.seed = seed;
    options.longOneIn = 50;
    options.longestPrompt = longestPrompt;
    options.answerTokens = answerTokens;
    options.threads = threads;
    options.checksText = true;
    return options;
}

bool runPhase(const process_fleet &fleet, const service_phase &phase, std::uint64_t seed)
{
    const load::load_options options = loadFor(fleet, seed);
    load::load_phase done;
    done.plan = load::planLoad(options);
    phase.begin();
    done.outcomes = load::runLoad(options, done.plan);
    std::printf("%s\n\n%s\n%s\n", phase.name, load::firstTokenTable(done).c_str(), load::serviceTable(options, done).c_str());
    std::fflush(stdout);
    return load::allRight(done);
}

} // namespace

bool benchLeaveAndReturn(const std::string &binaries)
{
    fleet_options fleetOptions;
    fleetOptions.binaries = binaries;
    fleetOptions.enginesPerDataCentre = { 2, 2, 2 };
    process_fleet fleet(fleetOptions);
    if (!fleet.start()) {
        return false;
    }
    const auto setFirst = [&fleet](bool inService) {
        fleet.publishDataCentres({ { "dc1", inService }, { "dc2", true }, { "dc3", true } });
    };
    const std::vector<service_phase> phases{
        { "warm-up", [] {} },
        { "all in service", [] {} },
        { "dc1 is taken out at the start",
            [&] {
                setFirst(false);
            } },
        { "dc1 stays out", [] {} },
        { "dc1 is brought back at the start",
            [&] {
                setFirst(true);
            } },
        { "all in service again", [] {} },
    };
    bool isRight = true;
    std::uint64_t seed = 1;
    for (const service_phase &phase : phases) {
        isRight = runPhase(fleet, phase, seed++) && isRight;
    }
    return fleet.stop() && isRight;
}

} // namespace mustardtrail::proof
