#include "proof/tests/test_fleet.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::proof;
using mustardtrail::testing::expectEqual;

namespace
{

std::string verdictOf(const caller_answer &answer)
{
    return std::string(answer.headers.find("Mustardtrail-Verdict"));
}

} // namespace

Test(effects, aDepositThatIsSentAgainThroughAnotherInstanceRunsOnce)
{
    const auto fleet = startedFleet();
    expectEqual(fleet->service(fleet->instances[0], "deposit", "deposit", "d-1").status, 200);
    const caller_answer second = fleet->service(fleet->instances[2], "deposit", "deposit", "d-1");
    expectEqual(second.status, 409);
    expectEqual(verdictOf(second), "ran");
    expectEqual(effectsOf(*fleet, "d-1"), 1);
}

Test(effects, aDepositWhoseAnswerIsLostIsNotRepeated)
{
    const auto fleet = startedFleet();
    control(fleet->services[0].control, R"({"drop_after_run":1})");
    const caller_answer first = fleet->service(fleet->instances[1], "deposit", "deposit", "d-2");
    expectEqual(verdictOf(first), "may_have_run");
    cr_assert(first.status >= 500);
    const caller_answer second = fleet->service(fleet->instances[0], "deposit", "deposit", "d-2");
    expectEqual(verdictOf(second), "may_have_run");
    expectEqual(effectsOf(*fleet, "d-2"), 1);
}

Test(effects, aRefusalThatSaysNotRunIsTrue)
{
    const auto fleet = startedFleet();
    control(fleet->services[0].control, R"({"refuse":true})");
    const caller_answer refused = fleet->service(fleet->instances[0], "deposit", "deposit", "d-3");
    expectEqual(verdictOf(refused), "not_run");
    expectEqual(effectsOf(*fleet, "d-3"), 0);
    control(fleet->services[0].control, R"({"refuse":false})");
    expectEqual(fleet->service(fleet->instances[2], "deposit", "deposit", "d-3").status, 200);
    expectEqual(effectsOf(*fleet, "d-3"), 1);
}

Test(effects, anIdempotentLookupIsRepeatedWhenItsAnswerIsLost)
{
    const auto fleet = startedFleet();
    control(fleet->services[0].control, R"({"drop_after_run":1})");
    expectEqual(fleet->service(fleet->instances[0], "status", "status", "").status, 200);
}
