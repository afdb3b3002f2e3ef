#include "gateway/resend_budget.h"

#include "gateway/route_table.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

const service_id reading("reading");
using cause = resend_budget::cause;

constexpr int longAfterStart = 60'000;

resend_budget runningBudget(resend_limits limits)
{
    return { limits, at(0) };
}

int takeAll(resend_budget &budget, cause use, int now, size_t instances)
{
    int taken = 0;
    while (budget.tryTake(reading, use, at(now), instances)) {
        ++taken;
    }
    return taken;
}

} // namespace

Test(resend_budget, dividesTheSlackByTheInstances)
{
    resend_budget budget = runningBudget({ 0.2, milliseconds(10'000), 100.0 });
    expectEqual(takeAll(budget, cause::interrupted, longAfterStart, 10), 8);
}

Test(resend_budget, allInstancesTogetherStayBelowTheLimit)
{
    constexpr int instances = 8;
    constexpr int requests = 50;
    int sent = 0;
    for (int index = 0; index < instances; ++index) {
        resend_budget budget = runningBudget({ 0.2, milliseconds(10'000), 104.0 });
        for (int count = 0; count < requests; ++count) {
            budget.countRequest(reading, at(longAfterStart + count));
        }
        sent += takeAll(budget, cause::interrupted, longAfterStart + 100, instances);
    }
    cr_assert_leq(sent, static_cast<int>(0.2 * instances * requests + 104.0));
}

Test(resend_budget, refusedRequestsLeaveHalfToInterruptedStreams)
{
    resend_budget budget = runningBudget({ 0.2, milliseconds(10'000), 100.0 });
    expectEqual(takeAll(budget, cause::refused, longAfterStart, 10), 4);
    expectEqual(takeAll(budget, cause::interrupted, longAfterStart, 10), 4);
}

// Guards against copies that use up what resends need.
Test(resend_budget, copiesLeaveHalfToResendsAndGiveWayToThem)
{
    resend_budget budget = runningBudget({ 0.2, milliseconds(10'000), 100.0 });
    expectEqual(takeAll(budget, cause::copy, longAfterStart, 10), 4);
    expectEqual(takeAll(budget, cause::interrupted, longAfterStart, 10), 4);
    resend_budget other = runningBudget({ 0.2, milliseconds(10'000), 100.0 });
    expectEqual(takeAll(other, cause::refused, longAfterStart, 10), 4);
    expectEqual(takeAll(other, cause::copy, longAfterStart, 10), 0);
    expectEqual(takeAll(other, cause::interrupted, longAfterStart, 10), 4);
}

// Guards against hedges for servers that only pause, which use up what streams need whose server is lost.
Test(resend_budget, hedgesForSilentServersLeaveAQuarterToInterruptedStreams)
{
    resend_budget budget = runningBudget({ 0.2, milliseconds(10'000), 100.0 });
    expectEqual(takeAll(budget, cause::silent, longAfterStart, 10), 6);
    expectEqual(takeAll(budget, cause::interrupted, longAfterStart, 10), 2);
    resend_budget small = runningBudget({ 0.2, milliseconds(10'000), 15.0 });
    expectEqual(takeAll(small, cause::silent, longAfterStart, 10), 1);
}

Test(resend_budget, aSendThatReachedNoServerGivesItsUnitBack)
{
    for (const cause why : { cause::refused, cause::silent, cause::interrupted, cause::copy }) {
        resend_budget budget = runningBudget({ 0.2, milliseconds(10'000), 100.0 });
        const auto taken = budget.tryTake(reading, why, at(longAfterStart), 10);
        const int others = takeAll(budget, why, longAfterStart + 1, 10);
        budget.giveBack(*taken, at(longAfterStart + 2));
        expectEqual(takeAll(budget, why, longAfterStart + 2, 10), 1);
        cr_assert_gt(others, 0);
    }
}

Test(resend_budget, whatIsLentIsNotUsedUntilNoWindowHoldsIt)
{
    resend_budget budget = runningBudget({ 0.2, milliseconds(10'000), 100.0 });
    const second_send_ask ask{ keyOf(reading), 1, 100'000 };
    const auto loan = budget.lend(ask, 5, 10, at(longAfterStart));
    expectEqual(loan->milliSends, 4'000U);
    cr_assert_not(budget.lend(ask, 5, 10, at(longAfterStart)).has_value());
    expectEqual(takeAll(budget, cause::interrupted, longAfterStart, 10), 4);
    cr_assert_not(budget.lend(ask, 5, 10, at(longAfterStart + 11'000)).has_value());
    cr_assert(budget.lend(ask, 5, 10, at(longAfterStart + 11'001)).has_value());
}

Test(resend_budget, aRestartedInstanceLendsNothingWhileItsEarlierLoansMayBeInUse)
{
    resend_budget budget({ 0.2, milliseconds(10'000), 100.0 }, at(11'000));
    const second_send_ask ask{ keyOf(reading), 1, 100'000 };
    cr_assert_not(budget.lend(ask, 5, 10, at(10'999)).has_value());
    cr_assert(budget.lend(ask, 5, 10, at(11'000)).has_value());
}

Test(resend_budget, hasRoomAgainWhenTheWindowHasPassed)
{
    resend_budget budget = runningBudget({ 0.0, milliseconds(10'000), 10.0 });
    cr_assert_gt(takeAll(budget, cause::interrupted, longAfterStart, 1), 0);
    cr_assert_not(budget.hasRoom(reading, cause::interrupted, at(longAfterStart + 9'000), 1));
    cr_assert(budget.hasRoom(reading, cause::interrupted, at(longAfterStart + 10'001), 1));
}

// All instances restart at once, as after a power failure: each knows only three seeds and has no record of its resends.
Test(resend_budget, aRestartedFleetStaysBelowTheLimitDespiteItsEarlierResends)
{
    constexpr int instances = 66;
    constexpr size_t seedsAndSelf = 4;
    constexpr int downAt = longAfterStart;
    constexpr int backAt = downAt + 1'000;
    constexpr int windowEnd = downAt + 10'000;
    const resend_limits limits{ 0.2, milliseconds(10'000), 208.0 };
    int sent = 0;
    for (int index = 0; index < instances; ++index) {
        resend_budget before = runningBudget(limits);
        sent += takeAll(before, cause::interrupted, downAt, instances);
        resend_budget after(limits, at(backAt + 10'000));
        sent += takeAll(after, cause::interrupted, backAt + 500, seedsAndSelf);
        for (int now = backAt + 1'500; now < windowEnd; now += 500) {
            sent += takeAll(after, cause::interrupted, now, instances);
        }
    }
    cr_assert_leq(sent, 208);
}
