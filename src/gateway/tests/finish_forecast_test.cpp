#include "gateway/finish_forecast.h"

#include <criterion/criterion.h>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using std::chrono::milliseconds;

namespace
{

constexpr time_point signalledAt{ std::chrono::seconds(100) };
const stop_schedule schedule(signalledAt, milliseconds(8'000)); // Final answers after 7,000 ms, its end after 7,400 ms.
const std::string routeName = "stream";

time_point after(int ms)
{
    return signalledAt + milliseconds(ms);
}

bool canFinishAfter(int ms, milliseconds firstEvent, milliseconds length, unsigned samples = 100)
{
    return canFinish({ firstEvent, { samples, length } }, schedule, after(ms));
}

} // namespace

Test(finish_forecast, aStreamThatEndsBeforeTheProcessIsTaken)
{
    cr_assert(canFinishAfter(2'000, milliseconds(400), milliseconds(5'000)));
    cr_assert(canFinishAfter(0, milliseconds(0), milliseconds(7'400)));
}

Test(finish_forecast, aStreamThatEndsAfterTheProcessIsNotTaken)
{
    cr_assert_not(canFinishAfter(2'000, milliseconds(500), milliseconds(5'000)));
    cr_assert_not(canFinishAfter(6'900, milliseconds(0), milliseconds(600)));
}

Test(finish_forecast, anAnswerThatBeginsAfterTheFinalOnesIsNotTaken)
{
    cr_assert(canFinishAfter(6'000, milliseconds(1'000), milliseconds(0), 0));
    cr_assert_not(canFinishAfter(6'000, milliseconds(1'001), milliseconds(0), 0));
}

Test(finish_forecast, aFewStreamsDoNotShowHowLongOneLasts)
{
    cr_assert(canFinishAfter(2'000, milliseconds(400), milliseconds(50'000), 9));
    cr_assert_not(canFinishAfter(2'000, milliseconds(400), milliseconds(50'000), 10));
}

// What only some streams exceed is no reason to refuse one that may be shorter.
Test(finish_forecast, theLengthIsThatWhichNearlyAllRecentStreamsOfTheRouteNeed)
{
    latency_quantiles lengths;
    for (int stream = 1; stream <= 20; ++stream) {
        recordLength(routeName, milliseconds(500 * stream), lengths, after(0));
    }
    const latency_estimate length = leastLengthOf(routeName, lengths, after(100));
    cr_assert_eq(length.samples, 20);
    cr_assert_geq(length.value.count(), 1'000'000);
    cr_assert_leq(length.value.count(), 1'100'000);
    cr_assert_eq(leastLengthOf("other", lengths, after(100)).samples, 0);
    cr_assert_eq(leastLengthOf(routeName, lengths, after(20'000)).samples, 0);
}
