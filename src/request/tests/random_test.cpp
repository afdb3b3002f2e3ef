#include "request/tests/simulation.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::request;
using namespace mustardtrail::request::testing;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr std::uint64_t schedules = 3000;

void add(request_counters &sum, const request_counters &one)
{
    sum.completed += one.completed;
    sum.failed += one.failed;
    sum.retries += one.retries;
    sum.continuations += one.continuations;
}

} // namespace

Test(random, noScheduleBreaksARule)
{
    request_counters totals;
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        simulation schedule(seed);
        schedule.run();
        for (const std::string &violation : violations(schedule.trace())) {
            std::fprintf(stderr, "seed %lu: %s\n", seed, violation.c_str());
            ++broken;
        }
        add(totals, schedule.totals());
    }
    std::fprintf(stderr, "completed=%lu failed=%lu ", totals.completed, totals.failed);
    std::fprintf(stderr, "retries=%lu continuations=%lu broken=%zu\n", totals.retries, totals.continuations, broken);
    expectEqual(broken, 0U);
    // Guards against schedules that no longer exercise failures, retries and continuations.
    cr_assert(totals.completed > schedules && totals.failed > schedules);
    cr_assert(totals.retries > schedules && totals.continuations > schedules);
}

Test(random, checkerDetectsEachBrokenRule)
{
    using kind = trace_kind;
    const auto entry = [](kind what, const std::string &text = "", verdict outcome = verdict::may_have_run) {
        return trace_entry{ at(1), what, "r1", "", true, text, outcome };
    };
    const auto broken = [&](std::vector<trace_entry> rest) {
        rest.insert(rest.begin(), { at(0), kind::sent, "r1", "k1", false, "ab", verdict::not_run });
        return violations(rest).size();
    };
    const trace_entry notRun = entry(kind::failed, "", verdict::not_run);
    expectEqual(broken({ entry(kind::output, "ab"), entry(kind::completed) }), 0U);
    cr_assert(broken({}) > 0);
    cr_assert(broken({ entry(kind::failed), entry(kind::failed) }) > 0);
    cr_assert(broken({ entry(kind::output, "a"), entry(kind::completed) }) > 0);
    cr_assert(broken({ entry(kind::output, "b"), entry(kind::failed) }) > 0);
    cr_assert(broken({ entry(kind::failed), entry(kind::output, "a") }) > 0);
    cr_assert(broken({ entry(kind::effect), entry(kind::effect), entry(kind::failed) }) > 0);
    cr_assert(broken({ entry(kind::effect), notRun }) > 0);
    cr_assert(broken({ notRun, entry(kind::effect) }) > 0);
}
