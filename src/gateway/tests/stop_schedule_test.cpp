#include "gateway/stop_schedule.h"

#include <criterion/criterion.h>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using std::chrono::milliseconds;

namespace
{

constexpr time_point signalledAt{ std::chrono::seconds(100) };
constexpr milliseconds grace{ 8'000 };

time_point after(int ms)
{
    return signalledAt + milliseconds(ms);
}

} // namespace

Test(stop_schedule, leavesTimeForTheFinalAnswersBeforeTheKill)
{
    const stop_schedule schedule(signalledAt, grace);
    cr_assert(schedule.acceptUntil() == after(2'500));
    cr_assert(schedule.finalAnswersAt() == after(7'000));
}

// The server reads what has arrived in time a moment later.
Test(stop_schedule, acceptsWhatArrivedInTimeAndNothingThatALateTimerLetIn)
{
    const stop_schedule schedule(signalledAt, grace);
    cr_assert(schedule.accepts(after(2'500)));
    cr_assert(schedule.accepts(after(2'550)));
    cr_assert_not(schedule.accepts(after(2'551)));
}

Test(stop_schedule, stopsAcceptingBeforeTheFinalAnswersOfAShortGrace)
{
    const stop_schedule schedule(signalledAt, milliseconds(3'000));
    cr_assert(schedule.acceptUntil() == after(2'000));
    cr_assert(schedule.finalAnswersAt() == after(2'000));
}

Test(stop_schedule, waitsForAnswersUntilTheirTimeIsOverAndOnceMore)
{
    stop_schedule schedule(signalledAt, grace);
    schedule.beginFinalAnswers(after(7'000));
    cr_assert(schedule.waitsForAnswers(after(7'000)));
    cr_assert(schedule.waitsForAnswers(after(7'399)));
    cr_assert(schedule.waitsForAnswers(after(7'400)));
    cr_assert_not(schedule.waitsForAnswers(after(7'420)));
}

Test(stop_schedule, givesRequestsThatEndEarlyTheWholeTime)
{
    stop_schedule schedule(signalledAt, grace);
    schedule.beginFinalAnswers(after(3'000));
    cr_assert(schedule.waitsForAnswers(after(7'399)));
    cr_assert(schedule.waitsForAnswers(after(7'399)));
}

Test(stop_schedule, timeInWhichTheEventLoopWasBlockedDoesNotCount)
{
    stop_schedule schedule(signalledAt, grace);
    schedule.beginFinalAnswers(after(7'000));
    cr_assert(schedule.waitsForAnswers(after(7'200)));
    schedule.recordDelay(milliseconds(400));
    cr_assert(schedule.waitsForAnswers(after(7'620)));
    cr_assert(schedule.waitsForAnswers(after(7'799)));
    cr_assert(schedule.waitsForAnswers(after(7'800)));
    cr_assert_not(schedule.waitsForAnswers(after(7'820)));
}

Test(stop_schedule, beginsTheTimeOfLateFinalAnswersWhenTheyBegin)
{
    stop_schedule schedule(signalledAt, grace);
    schedule.beginFinalAnswers(after(7'300));
    cr_assert(schedule.waitsForAnswers(after(7'699)));
    cr_assert(schedule.waitsForAnswers(after(7'699)));
}

Test(stop_schedule, waitsOnceMoreAfterABlockThatEndsShortlyBeforeTheKill)
{
    stop_schedule schedule(signalledAt, grace);
    schedule.beginFinalAnswers(after(7'000));
    cr_assert(schedule.waitsForAnswers(after(7'100)));
    schedule.recordDelay(milliseconds(800));
    cr_assert(schedule.waitsForAnswers(after(7'920)));
    cr_assert_not(schedule.waitsForAnswers(after(7'940)));
}

Test(stop_schedule, waitsForReleasesUntilShortlyBeforeTheKill)
{
    const stop_schedule schedule(signalledAt, grace);
    cr_assert(schedule.waitsForReleases(after(7'849)));
    cr_assert_not(schedule.waitsForReleases(after(7'850)));
}

Test(stop_schedule, waitsOnlyOnceWithoutAGrace)
{
    stop_schedule schedule(signalledAt, milliseconds(0));
    schedule.beginFinalAnswers(signalledAt);
    cr_assert(schedule.waitsForAnswers(signalledAt));
    cr_assert_not(schedule.waitsForAnswers(after(20)));
}
