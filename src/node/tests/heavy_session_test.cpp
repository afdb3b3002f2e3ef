#include "node/tests/heavy_schedule.h"

#include "testing/expect.h"

#include <cstdio>
#include <cstdlib>

using namespace mustardtrail::node::testing;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr std::uint64_t schedulesInCi = 90;

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

} // namespace

Test(heavy_session, everyScheduleKeepsTheRules)
{
    const std::uint64_t seed = numberFrom("MT_HEAVY_SEED", 0);
    const std::uint64_t last = seed != 0 ? seed : numberFrom("MT_SCHEDULES", schedulesInCi);
    std::uint64_t broken = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t latePieces = 0;
    for (std::uint64_t next = seed != 0 ? seed : 1; next <= last; ++next) {
        heavy_schedule session(next);
        if (numberFrom("MT_TRACE", 0) != 0) {
            session.record();
        }
        session.run();
        for (const std::string &line : session.trace().log) {
            std::fprintf(stderr, "%s\n", line.c_str());
        }
        for (const std::string &violation : violations(session.trace())) {
            std::fprintf(stderr, "MT_HEAVY_SEED=%lu: %s\n", next, violation.c_str());
            ++broken;
        }
        completed += session.count("completed");
        refused += session.count("refused");
        failed += session.count("failed");
        latePieces += session.count("late pieces");
    }
    std::fprintf(
        stderr, "heavy: completed=%lu refused=%lu failed=%lu late_pieces=%lu broken=%lu\n", completed, refused, failed, latePieces, broken);
    expectEqual(broken, 0U);
    if (seed == 0) {
        // The schedules must reach what they are for.
        cr_assert(completed > 20 * last && refused > last && failed > 0 && latePieces > last);
    }
}
