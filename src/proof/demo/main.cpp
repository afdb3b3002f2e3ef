#include "host/command_line.h"
#include "proof/fleet/expected_answer.h"
#include "proof/fleet/process_fleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdio>

ABSL_FLAG(std::string, binaries, "", "folder of the programs");
ABSL_FLAG(bool, keep, false, "leave the fleet running until interrupted");
ABSL_FLAG(bool, logs, false, "keep settings and logs");

using namespace mustardtrail;
using namespace mustardtrail::proof;

namespace
{

constexpr int maxTokens = 24;
constexpr size_t bytesPerToken = 4;

struct demo_case {
    const char *name;
    const char *workClass;
    size_t promptTokens;
    bool stream;
};

bool printRow(const char *name, const std::string &through, size_t tokens, const caller_answer &answer, bool isRight)
{
    const std::string verdict(answer.headers.find("Mustardtrail-Verdict"));
    std::printf("%-3s %-22s %-4s %10zu %7d %-13s %10lld %10lld\n",
        isRight ? "+" : "!",
        name,
        through.c_str(),
        tokens,
        answer.status,
        verdict.empty() ? "-" : verdict.c_str(),
        static_cast<long long>(answer.firstToken.count()),
        static_cast<long long>(answer.took.count()));
    std::fflush(stdout);
    return isRight;
}

bool runCompletion(process_fleet &fleet, const fleet_instance &through, const demo_case &item)
{
    const size_t bytes = item.promptTokens * bytesPerToken;
    const caller_answer answer = fleet.complete(through, item.workClass, bytes, maxTokens, item.stream);
    const bool isRight = answer.status == 200 && answer.isWhole && answerText(answer) == expectedAnswer(bytes, maxTokens);
    if (!isRight) {
        std::printf("    %s %s\n", answer.body.substr(0, 300).c_str(), answer.failure.detail.c_str());
    }
    return printRow(item.name, through.id, item.promptTokens, answer, isRight);
}

bool runService(
    process_fleet &fleet, const fleet_instance &through, const char *name, const char *workClass, const std::string &key, int expected)
{
    const caller_answer answer = fleet.service(through, workClass, name, key);
    if (answer.status != expected) {
        std::printf("    %s %s\n", answer.body.substr(0, 300).c_str(), answer.failure.detail.c_str());
    }
    return printRow(name, through.id, 0, answer, answer.status == expected);
}

bool runAll(process_fleet &fleet)
{
    const demo_case cases[] = {
        { "prompt-1k", "lookup", 1'000, false },
        { "prompt-1k-stream", "lookup", 1'000, true },
        { "prompt-100k", "benchmark", 100'000, true },
        { "prompt-450k-2.2-engines", "review", 450'000, true },
    };
    std::printf("%-3s %-22s %-4s %10s %7s %-13s %10s %10s\n", "", "request", "by", "tokens", "status", "verdict", "first ms", "all ms");
    bool right = true;
    for (const fleet_instance &through : fleet.instances) {
        for (const demo_case &item : cases) {
            right = runCompletion(fleet, through, item) && right;
        }
        right = runService(fleet, through, "status", "status", "", 200) && right;
        right = runService(fleet, through, "deposit", "deposit", "deposit-" + through.id, 200) && right;
    }
    // The same deposit again, through another entry instance, must not run a second time.
    right = runService(fleet, fleet.instances.back(), "deposit", "deposit", "deposit-" + fleet.instances.front().id, 409) && right;
    return right;
}

void waitForInterrupt(const process_fleet &fleet)
{
    for (const fleet_instance &instance : fleet.instances) {
        std::printf("%s %s  http://%s  admin http://%s  view http://%s\n",
            instance.id.c_str(),
            instance.dataCentre.c_str(),
            toString(instance.callers).c_str(),
            toString(instance.admin).c_str(),
            toString(instance.view).c_str());
    }
    std::fflush(stdout);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Starts a small fleet, sends real requests through every entry instance, stops it by planned stop.");
    host::parseCommandLine(argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    fleet_options options;
    options.binaries = absl::GetFlag(FLAGS_binaries);
    options.keepLogs = absl::GetFlag(FLAGS_logs);
    process_fleet fleet(options);
    if (!fleet.start()) {
        std::printf("! not ready\n");
        return 1;
    }
    bool right = runAll(fleet);
    if (absl::GetFlag(FLAGS_keep)) {
        sigprocmask(SIG_BLOCK, &signals, nullptr);
        waitForInterrupt(fleet);
    }
    const bool stopped = fleet.stop();
    std::printf("%s planned stop\n%s\n", stopped ? "+" : "!", right && stopped ? "demo_ok" : "demo_failed");
    return right && stopped ? 0 : 1;
}
