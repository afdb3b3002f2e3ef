#include "host/command_line.h"
#include "proof/bench/benches.h"

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <functional>

#include <cstdlib>

ABSL_FLAG(std::string, binaries, "", "folder of the programs");
ABSL_FLAG(std::string, bench, "all", "hop, throughput, streams, changes, stop, leave, rest or all");
ABSL_FLAG(int, requests, 500, "requests by each route of hop");
ABSL_FLAG(int, streams, 1'000, "open streams of streams");
ABSL_FLAG(int, runs, 20, "runs of changes");
ABSL_FLAG(int, instances, 3, "entry instances of rest, each in a data centre of its own; at most 30");

using namespace mustardtrail::proof;

namespace
{

struct bench {
    const char *name;
    std::function<bool()> run;
};

void printHeading(const char *name)
{
    double load[1] = { 0 };
    ::getloadavg(load, 1);
    std::printf("\n## %s (load average %.1f)\n\n", name, load[0]);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Measures a small fleet of real processes on the loopback address.");
    mustardtrail::host::parseCommandLine(argc, argv);
    const std::string binaries = absl::GetFlag(FLAGS_binaries);
    const std::string chosen = absl::GetFlag(FLAGS_bench);
    const bench benches[] = {
        { "hop",
            [&] {
                return benchHop(binaries, absl::GetFlag(FLAGS_requests));
            } },
        { "throughput",
            [&] {
                return benchThroughput(binaries);
            } },
        { "streams",
            [&] {
                return benchOpenStreams(binaries, absl::GetFlag(FLAGS_streams));
            } },
        { "changes",
            [&] {
                return benchChanges(binaries, absl::GetFlag(FLAGS_runs));
            } },
        { "stop",
            [&] {
                return benchPlannedStop(binaries);
            } },
        { "leave",
            [&] {
                return benchLeaveAndReturn(binaries);
            } },
        { "rest",
            [&] {
                return benchViewAtRest(binaries, absl::GetFlag(FLAGS_instances));
            } },
    };
    bool isRight = true;
    for (const bench &item : benches) {
        if (chosen != "all" && chosen != item.name) {
            continue;
        }
        printHeading(item.name);
        const bool passed = item.run();
        std::printf("%s %s\n", passed ? "+" : "!", item.name);
        std::fflush(stdout);
        isRight = passed && isRight;
    }
    return isRight ? 0 : 1;
}
