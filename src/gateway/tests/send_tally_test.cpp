#include "gateway/send_tally.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr int manySends = 50;

attempt_failure refused()
{
    attempt_failure failure;
    failure.outcome = verdict::not_run;
    return failure;
}

attempt_failure unreached()
{
    attempt_failure failure = refused();
    failure.isUnreachable = true;
    return failure;
}

attempt_failure unreserved()
{
    attempt_failure failure = refused();
    failure.isUnreserved = true;
    return failure;
}

std::string limitAfter(const attempt_failure &failure)
{
    send_tally sends;
    for (int count = 0; count < manySends; ++count) {
        sends.record(failure);
    }
    return std::string(sends.reachedLimit());
}

} // namespace

Test(send_tally, boundsEachKindOfSendAndNamesTheLimit)
{
    expectEqual(limitAfter(refused()), "refusals");
    expectEqual(limitAfter(unreached()), "unreached");
    expectEqual(limitAfter(unreserved()), "reservations");
    expectEqual(limitAfter(attempt_failure()), "runs");
}

// Connections that were refused within milliseconds used up all sends of a stream while its servers were out of reach for a moment.
Test(send_tally, aRequestThatMayHaveRunOutlastsASecondInWhichNoServerIsReached)
{
    send_tally sends;
    sends.record(attempt_failure());
    std::chrono::milliseconds time{ 0 };
    while (sends.reachedLimit().empty()) {
        time += sends.pauseBeforeNext();
        sends.record(unreached());
    }
    cr_assert_geq(time.count(), 1'000);
    expectEqual(sends.reachedLimit(), "unreached");
}

Test(send_tally, aRefusalIsFollowedByAPauseOnlyWhereTheSameServersAreLeft)
{
    send_tally sends;
    sends.record(attempt_failure());
    sends.record(refused());
    expectEqual(sends.pauseBeforeNext().count(), 0);
    sends.recordReadmission();
    cr_assert_gt(sends.pauseBeforeNext().count(), 0);
    sends.record(unreserved());
    expectEqual(sends.pauseBeforeNext().count(), 0);
}

Test(send_tally, aRequestThatNobodyRanDoesNotWaitForServersThatAreNotReached)
{
    send_tally sends;
    sends.record(unreached());
    sends.record(unreached());
    expectEqual(sends.pauseBeforeNext().count(), 0);
}

// Six engines that were silent for a moment ended a request that had not run anywhere.
Test(send_tally, ordersThatSixEnginesDidNotAnswerDoNotEndARequest)
{
    send_tally sends;
    for (int count = 0; count < 6; ++count) {
        sends.record(unreserved());
    }
    expectEqual(sends.reachedLimit(), "");
}

// A stream was cut after its first run because five sends before it had not run anywhere.
Test(send_tally, whatNobodyRanBeforeARunDoesNotCountAfterIt)
{
    send_tally sends;
    for (int count = 0; count < 5; ++count) {
        sends.record(unreserved());
        sends.record(refused());
        sends.record(unreached());
    }
    sends.record(attempt_failure());
    for (int count = 0; count < 5; ++count) {
        sends.record(refused());
    }
    expectEqual(sends.reachedLimit(), "");
}
