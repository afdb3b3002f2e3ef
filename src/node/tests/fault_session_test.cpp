#include "node/tests/schedule.h"

#include "testing/expect.h"

#include <cstdio>
#include <cstdlib>

using namespace mustardtrail::node::testing;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr std::uint64_t schedulesInCi = 200;
/// Seeds above them that failed once.
constexpr std::uint64_t failedOnce[] = { 232, 409, 963, 1286, 4089 };

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

struct session_totals {
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t forwarded = 0;
    std::size_t broken = 0;
};

void runOne(std::uint64_t seed, session_totals &totals)
{
    schedule session(seed);
    if (numberFrom("MT_TRACE", 0) != 0) {
        session.record();
    }
    session.run();
    for (const std::string &line : session.trace().log) {
        std::fprintf(stderr, "%s\n", line.c_str());
    }
    for (const std::string &violation : violations(session.trace())) {
        std::fprintf(stderr, "MT_SEED=%lu: %s\n", seed, violation.c_str());
        ++totals.broken;
    }
    totals.completed += session.count("completed");
    totals.refused += session.count("refused");
    totals.failed += session.count("failed");
    totals.forwarded += session.count("forwarded");
}

} // namespace

Test(fault_session, everyScheduleKeepsTheRules)
{
    const std::uint64_t seed = numberFrom("MT_SEED", 0);
    const std::uint64_t first = seed != 0 ? seed : 1;
    const std::uint64_t last = seed != 0 ? seed : numberFrom("MT_SCHEDULES", schedulesInCi);
    session_totals totals;
    for (std::uint64_t next = first; next <= last; ++next) {
        runOne(next, totals);
    }
    for (const std::uint64_t next : failedOnce) {
        if (seed == 0) {
            runOne(next, totals);
        }
    }
    std::fprintf(stderr,
        "completed=%lu refused=%lu failed=%lu forwarded=%lu broken=%zu\n",
        totals.completed,
        totals.refused,
        totals.failed,
        totals.forwarded,
        totals.broken);
    expectEqual(totals.broken, 0U);
    if (seed == 0) {
        const std::uint64_t schedules = last - first + 1;
        // The schedules must reach what they are for.
        cr_assert(totals.completed > 10 * schedules);
        cr_assert(totals.refused > schedules && totals.failed > 0 && totals.forwarded > schedules);
    }
}
