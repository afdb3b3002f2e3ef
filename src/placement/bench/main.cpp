#include "placement/bench/session.h"
#include "placement/length_class.h"

#include <cstdio>
#include <cstdlib>
#include <string_view>

using namespace mustardtrail;
using namespace mustardtrail::placement;
using namespace mustardtrail::placement::bench;

namespace
{

constexpr std::uint64_t workloadSeed = 20261203;
constexpr std::uint64_t capacitySeed = 11;

struct named_policy {
    const char *name;
    baseline_policy policy; ///< Empty: use owner_scheduler and router.
};

std::vector<named_policy> policies()
{
    return { { "mustardtrail", nullptr },
        { "random", randomPolicy() },
        { "round robin", roundRobinPolicy() },
        { "least outstanding", leastOutstandingPolicy() },
        { "two random choices", twoRandomChoicesPolicy() } };
}

session_outcome runOne(const session_options &options, const std::vector<arrival> &workload, const baseline_policy &policy)
{
    return policy ? runBaseline(options, workload, policy) : runPlacement(options, workload);
}

bool isClass(const request_outcome &request, const char *name)
{
    return request.asked.work.workClass.str() == name;
}

void printRow(const session_options &options, double load, const char *policy, const char *part, const figures &value)
{
    std::printf("| %s | %.0f%% | %s | %s | %zu | %.0f | %.0f | %.0f | %.1f%% | %.1f%% | %.1f%% | %.0f |\n",
        options.shape.name.c_str(),
        load * 100,
        policy,
        part,
        value.count,
        value.p50,
        value.p95,
        value.p99,
        value.inTarget * 100,
        value.refused * 100,
        value.refusedLate * 100,
        value.latestRefusal);
}

void printSession(const session_options &options,
    double load,
    double capacityTokens,
    const named_policy &named,
    const std::vector<arrival> &workload,
    const std::vector<arrival> &withoutLong)
{
    const session_outcome outcome = runOne(options, workload, named.policy);
    struct part {
        const char *className;
        const char *shown;
    };
    double shortP95 = 0;
    for (const part &wanted : { part{ "lookup", "short" }, part{ "benchmark", "medium" }, part{ "review", "long" } }) {
        const auto value = figuresOf(select(outcome,
                                         [&](const auto &r) {
                                             return isClass(r, wanted.className);
                                         }),
            outcome.measured);
        printRow(options, load, named.name, wanted.shown, value);
        shortP95 = wanted.className == std::string_view("lookup") ? value.p95 : shortP95;
    }
    const auto all = figuresOf(outcome.requests, outcome.measured);
    const auto small = figuresOf(select(outcome,
                                     [](const auto &r) {
                                         return r.asked.smallCustomer;
                                     }),
        outcome.measured);
    const auto large = figuresOf(select(outcome,
                                     [](const auto &r) {
                                         return !r.asked.smallCustomer;
                                     }),
        outcome.measured);
    const session_outcome alone = runOne(options, withoutLong, named.policy);
    const auto aloneShort = figuresOf(select(alone,
                                          [](const auto &r) {
                                              return isClass(r, "lookup");
                                          }),
        alone.measured);
    std::printf("|  |  | %s | goodput %.1f%% of capacity; small customers in target %.1f%%, large %.1f%%; short slowdown %.2f (%.0f/%.0f "
                "ms) | | | | | | | | |\n",
        named.name,
        100 * all.tokensInTarget / capacityTokens,
        small.inTarget * 100,
        large.inTarget * 100,
        shortP95 / aloneShort.p95,
        shortP95,
        aloneShort.p95);
}

void printColdEngines(const fleet_shape &shape, double perEngine, const placement_options &placement)
{
    constexpr int faults = 24;
    constexpr double load = 0.8;
    session_options options;
    options.shape = shape;
    options.placement = placement;
    const auto length = options.warmUp + options.measured + options.coolDown;
    const auto workload = makeWorkload(load * perEngine * static_cast<double>(shape.engines), length, shape.entries, true, workloadSeed);
    options.restarts = faults;
    const int reportedColdOverloads = runPlacement(options, workload).coldOverloads;
    options.restarts = 0;
    options.unreportedColds = faults;
    const session_outcome unreported = runPlacement(options, workload);
    const auto all = figuresOf(unreported.requests, unreported.measured);
    std::printf("\n%s, 80%%: sends above the cold limit: %d in %d restarts; %d in %d unreported cold starts (in target %.1f%%).\n",
        shape.name.c_str(),
        reportedColdOverloads,
        faults,
        unreported.coldOverloads,
        faults,
        all.inTarget * 100);
}

/// Parts of the benchmark to run.
struct bench_selection {
    bool placementOnly = false;
    bool gossipOnly = false;
    std::uint64_t seed = workloadSeed;
    std::vector<double> loads{ 0.5, 0.8, 0.95, 1.2 };
    std::string fleet; ///< Empty: both.
    placement_options placement;
};

void runFleet(const fleet_shape &shape, double perEngine, const bench_selection &selection)
{
    if (!selection.fleet.empty() && selection.fleet != shape.name) {
        return;
    }
    session_options options;
    options.shape = shape;
    options.placement = selection.placement;
    options.summaryWithAnswers = !selection.gossipOnly;
    const double capacity = perEngine * static_cast<double>(shape.engines);
    const auto length = options.warmUp + options.measured + options.coolDown;
    for (const double load : selection.loads) {
        const auto workload = makeWorkload(load * capacity, length, shape.entries, true, selection.seed);
        const auto withoutLong = makeWorkload(load * capacity, length, shape.entries, false, selection.seed);
        double tokens = 0;
        for (const arrival &next : workload) {
            tokens += static_cast<double>(next.work.promptTokens);
        }
        const double capacityTokens = tokens / static_cast<double>(workload.size()) * capacity;
        for (const named_policy &named : policies()) {
            if (!selection.placementOnly || !named.policy) {
                printSession(options, load, capacityTokens, named, workload, withoutLong);
            }
        }
        std::fflush(stdout);
    }
}

/// Value of an argument of the form "--name=value"; null if the name differs.
const char *valueOf(std::string_view argument, std::string_view name)
{
    return argument.starts_with(name) ? argument.data() + name.size() : nullptr;
}

bench_selection readArguments(int argc, char **argv)
{
    bench_selection selection;
    placement_options &placement = selection.placement;
    for (int number = 1; number < argc; ++number) {
        const std::string_view argument = argv[number];
        selection.placementOnly = selection.placementOnly || argument == "--placement-only";
        selection.gossipOnly = selection.gossipOnly || argument == "--gossip-only";
        if (argument == "--without-claims") {
            placement = optionsWithoutClaims();
        }
        if (argument == "--concentrate") {
            placement.longPlacement = long_placement::concentrate;
        }
        if (const char *value = valueOf(argument, "--load=")) {
            selection.loads = { std::atof(value) };
        }
        if (const char *value = valueOf(argument, "--seed=")) {
            selection.seed = std::strtoull(value, nullptr, 10);
        }
        if (const char *value = valueOf(argument, "--fleet=")) {
            selection.fleet = value;
        }
        if (const char *value = valueOf(argument, "--long-free=")) {
            placement.longReserveFraction = std::atof(value);
        }
        if (const char *value = valueOf(argument, "--long-claims-below=")) {
            placement.longClaimThreshold = std::atof(value);
        }
        if (const char *value = valueOf(argument, "--wait-margin=")) {
            placement.longWaitMargin = std::atoi(value);
        }
        if (const char *value = valueOf(argument, "--medium-wait-margin=")) {
            placement.mediumWaitMargin = std::atoi(value);
        }
        if (const char *value = valueOf(argument, "--medium-claims-below=")) {
            placement.mediumClaimThreshold = std::atof(value);
        }
        if (const char *value = valueOf(argument, "--medium-free=")) {
            placement.mediumReserveFraction = std::atof(value);
        }
        if (const char *value = valueOf(argument, "--backlog-ms=")) {
            placement.engineBacklog = std::chrono::milliseconds(std::atoi(value));
        }
    }
    return selection;
}

} // namespace

int main(int argc, char **argv)
{
    const bench_selection selection = readArguments(argc, argv);
    const double perEngine = requestsPerSecondOfOneEngine(capacitySeed);
    std::printf("Capacity of one engine: %.2f requests a second. Seeds: workload %llu, capacity %llu.\n\n",
        perEngine,
        static_cast<unsigned long long>(selection.seed),
        static_cast<unsigned long long>(capacitySeed));
    std::printf(
        "| fleet | load | policy | prompts | requests | p50 ms | p95 ms | p99 ms | in target | refused | refused late | refusal p99 "
        "ms |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    runFleet(blueMahoe(), perEngine, selection);
    runFleet(bronces(), perEngine, selection);
    if (!selection.placementOnly || selection.loads.size() > 1) {
        printColdEngines(blueMahoe(), perEngine, selection.placement);
        printColdEngines(bronces(), perEngine, selection.placement);
    }
    return 0;
}
