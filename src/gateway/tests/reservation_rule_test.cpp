#include "gateway/reservation_rule.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

const time_point start{ milliseconds(1'000'000) };

reservation_limits usualLimits()
{
    return reservation_limits::within(milliseconds(9'000), milliseconds(4'000));
}

} // namespace

Test(reservation_rule, theLastLeaseWithoutProofEndsBeforeMemoryCountsAsUnused)
{
    for (const milliseconds unusedLimit : { milliseconds(5'000), milliseconds(9'000), milliseconds(30'000) }) {
        const reservation_limits limits = reservation_limits::within(unusedLimit, milliseconds(4'000));
        const reservation_age age{ start, std::nullopt };
        time_point renewedAt = start;
        while (!needsProofOfUse(age, limits, renewedAt)) {
            renewedAt += limits.renewalInterval;
        }
        cr_assert_lt((renewedAt - limits.renewalInterval + limits.lease - start).count(), unusedLimit.count() * 1'000'000);
    }
}

Test(reservation_rule, aLeaseEndsSoonAfterTheRequestThatUsedTheMemory)
{
    for (const milliseconds freedLimit : { milliseconds(1'500), milliseconds(4'000), milliseconds(10'000) }) {
        const reservation_limits limits = reservation_limits::within(milliseconds(9'000), freedLimit);
        // The last event may have come just before the end, and the last renewal without proof just within the interval after it.
        const milliseconds held = limits.renewalInterval + limits.lease;
        cr_assert_lt(held.count(), freedLimit.count());
    }
}

Test(reservation_rule, anAnswerThatGoesOnProvesTheUse)
{
    const reservation_limits limits = usualLimits();
    const time_point now = start + milliseconds(20'000);
    cr_assert_not(needsProofOfUse({ start, now - milliseconds(200) }, limits, now));
    cr_assert(needsProofOfUse({ start, now - limits.renewalInterval }, limits, now));
}

Test(reservation_rule, memoryThatAnEngineReportsAsUsedIsRenewed)
{
    expectEqual(renewalStep(memory_use::used, { start, std::nullopt }) == renewal_step::renew, true);
    expectEqual(renewalStep(memory_use::used, { start, start }) == renewal_step::renew, true);
}

Test(reservation_rule, memoryThatNoRequestHasUsedIsGivenUp)
{
    expectEqual(renewalStep(memory_use::unused, { start, std::nullopt }) == renewal_step::give_up, true);
}

Test(reservation_rule, unusedMemoryOfAnAnswerThatHasBegunIsFreedWithoutAnEndOfTheAnswer)
{
    expectEqual(renewalStep(memory_use::unused, { start, start }) == renewal_step::skip, true);
}

Test(reservation_rule, aLostReportDoesNotEndAnAnswerThatHasBegun)
{
    expectEqual(renewalStep(memory_use::unknown, { start, start }) == renewal_step::renew, true);
    expectEqual(renewalStep(memory_use::unknown, { start, std::nullopt }) == renewal_step::skip, true);
    expectEqual(renewalStep(memory_use::gone, { start, start }) == renewal_step::skip, true);
}
