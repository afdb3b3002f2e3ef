#include "request/tests/simulation.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::request;
using namespace mustardtrail::request::testing;

namespace
{

constexpr std::uint64_t schedules = 3000;

struct coverage {
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t retries = 0;
    std::uint64_t continuations = 0;
    std::uint64_t broken = 0;
};

coverage runAll()
{
    coverage seen;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        simulation schedule(seed);
        schedule.run();
        for (const std::string &violation : violations(schedule.trace())) {
            std::fprintf(stderr, "seed %llu: %s\n", static_cast<unsigned long long>(seed), violation.c_str());
            ++seen.broken;
        }
        for (const trace_entry &entry : schedule.trace()) {
            seen.notRun += entry.kind == trace_kind::failed && entry.outcome == verdict::not_run ? 1 : 0;
        }
        seen.completed += schedule.totals().completed;
        seen.failed += schedule.totals().failed;
        seen.retries += schedule.totals().retries;
        seen.continuations += schedule.totals().continuations;
    }
    return seen;
}

} // namespace

Test(random, everyScheduleKeepsTheRules)
{
    const coverage seen = runAll();
    std::fprintf(stderr,
        "schedules=%llu completed=%llu failed=%llu not_run=%llu retries=%llu continuations=%llu broken=%llu\n",
        static_cast<unsigned long long>(schedules),
        static_cast<unsigned long long>(seen.completed),
        static_cast<unsigned long long>(seen.failed),
        static_cast<unsigned long long>(seen.notRun),
        static_cast<unsigned long long>(seen.retries),
        static_cast<unsigned long long>(seen.continuations),
        static_cast<unsigned long long>(seen.broken));
    mustardtrail::testing::expectEqual(seen.broken, 0U);
    // The schedules must reach what they are for.
    cr_assert(seen.completed > schedules && seen.notRun > schedules && seen.failed > seen.notRun);
    cr_assert(seen.retries > schedules && seen.continuations > schedules);
}

Test(random, checkerNoticesEachBrokenRule)
{
    const trace_entry sent{ at(0), trace_kind::sent, "r1", "k1", false, "ab", verdict::not_run };
    const auto entry = [](trace_kind kind, const std::string &text = "", verdict outcome = verdict::may_have_run) {
        return trace_entry{ at(1), kind, "r1", "", true, text, outcome };
    };
    using kind = trace_kind;
    const auto broken = [&](std::vector<trace_entry> rest) {
        rest.insert(rest.begin(), sent);
        return violations(rest).size();
    };
    mustardtrail::testing::expectEqual(broken({ entry(kind::output, "ab"), entry(kind::completed) }), 0U);
    cr_assert(broken({}) > 0);
    cr_assert(broken({ entry(kind::failed), entry(kind::failed) }) > 0);
    cr_assert(broken({ entry(kind::output, "a"), entry(kind::completed) }) > 0);
    cr_assert(broken({ entry(kind::output, "b"), entry(kind::failed) }) > 0);
    cr_assert(broken({ entry(kind::failed), entry(kind::output, "a") }) > 0);
    cr_assert(broken({ entry(kind::effect), entry(kind::effect), entry(kind::failed) }) > 0);
    cr_assert(broken({ entry(kind::effect), entry(kind::failed, "", verdict::not_run) }) > 0);
    cr_assert(broken({ entry(kind::failed, "", verdict::not_run), entry(kind::effect) }) > 0);
}
