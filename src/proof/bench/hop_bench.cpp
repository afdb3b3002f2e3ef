#include "proof/bench/benches.h"
#include "proof/bench/samples.h"
#include "proof/bench/timed_caller.h"
#include "proof/fleet/expected_answer.h"
#include "proof/fleet/process_fleet.h"

#include <cstdio>

namespace mustardtrail::proof
{

namespace
{

constexpr size_t promptBytes = 4'000;
constexpr int maxTokens = 16;
constexpr int warmUpRounds = 20;

struct route {
    const char *name;
    endpoint to;
    bool isDirect;
    samples firstToken;
    samples whole;
};

bool callOnce(timed_caller &caller, route &way, int number, const std::string &expected, bool isCounted)
{
    http::request_message message = completionRequest("lookup", promptBytes, maxTokens);
    if (way.isDirect) {
        message.headers.add("Mustardtrail-Attempt", "bench-" + std::to_string(number));
        message.headers.add("Mustardtrail-Stream", "1");
    }
    const timed_answer timed = caller.call(way.to, std::move(message));
    if (!isRight(timed.answer, expected)) {
        std::printf("! %s %d %s\n", way.name, timed.answer.status, timed.answer.body.substr(0, 200).c_str());
        return false;
    }
    if (isCounted) {
        way.firstToken.add(timed.firstToken);
        way.whole.add(timed.took);
    }
    return true;
}

void printRoute(const route &way)
{
    std::printf("| %s | %zu | %s | %s | %s | %s |\n",
        way.name,
        way.whole.count(),
        milliText(way.firstToken.quantile(0.5)).c_str(),
        milliText(way.firstToken.quantile(0.99)).c_str(),
        milliText(way.whole.quantile(0.5)).c_str(),
        milliText(way.whole.quantile(0.99)).c_str());
}

} // namespace

bool benchHop(const std::string &binaries, int requests)
{
    fleet_options options;
    options.binaries = binaries;
    options.enginesPerDataCentre = { 1, 0, 0 };
    options.services = 0;
    options.decodeTokensPerSecond = 1'000;
    process_fleet fleet(options);
    if (!fleet.start()) {
        return false;
    }
    // The only engine belongs to the first instance, so the second one has to forward.
    route ways[] = { { "direct to the engine", fleet.engines.front().address, true, {}, {} },
        { "through the owner entry", fleet.instances[0].callers, false, {}, {} },
        { "through the forwarded hop", fleet.instances[1].callers, false, {}, {} } };
    const std::string expected = expectedAnswer(promptBytes, maxTokens);
    timed_caller caller;
    int wrong = 0;
    for (int number = 0; number < warmUpRounds + requests; ++number) {
        for (route &way : ways) {
            wrong += callOnce(caller, way, number, expected, number >= warmUpRounds) ? 0 : 1;
        }
    }
    std::printf("| route | requests | first token p50, ms | p99 | whole p50, ms | p99 |\n| --- | --- | --- | --- | --- | --- |\n");
    for (const route &way : ways) {
        printRoute(way);
    }
    std::printf("wrong or failed answers: %d\n", wrong);
    return fleet.stop() && wrong == 0;
}

} // namespace mustardtrail::proof
