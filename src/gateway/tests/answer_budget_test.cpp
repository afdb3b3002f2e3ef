// Answers without end filled the memory of an instance, each within its own limit, and it was ended with all its requests.

#include "gateway/answer_budget.h"
#include "gateway/memory_shares.h"

#include "testing/expect.h"

using namespace mustardtrail::gateway;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr size_t limit = 100;

} // namespace

Test(answer_budget, givesUpTheLargestAnswer)
{
    answer_budget budget(limit);
    int givenUp = 0;
    answer_budget::share large(budget, [&givenUp] {
        ++givenUp;
    });
    answer_budget::share middle(budget, nullptr);
    cr_assert(large.resize(60));
    cr_assert(middle.resize(40));
    answer_budget::share small(budget, nullptr);
    cr_assert(small.resize(1));
    cr_assert(large.isGivenUp());
    expectEqual(givenUp, 1);
    expectEqual(budget.heldBytes(), 41U);
    cr_assert_not(large.resize(1));
    expectEqual(budget.heldBytes(), 41U);
}

Test(answer_budget, givesUpTheAnswerThatGrowsIfNoneIsLarger)
{
    answer_budget budget(limit);
    answer_budget::share one(budget, nullptr);
    answer_budget::share other(budget, nullptr);
    cr_assert(one.resize(50));
    cr_assert(other.resize(50));
    cr_assert_not(other.resize(51));
    cr_assert_not(one.isGivenUp());
    expectEqual(budget.heldBytes(), 50U);
}

Test(answer_budget, givesUpOneAnswerAfterTheOtherUntilThereIsRoom)
{
    answer_budget budget(limit);
    answer_budget::share one(budget, nullptr);
    answer_budget::share other(budget, nullptr);
    answer_budget::share third(budget, nullptr);
    cr_assert(one.resize(34));
    cr_assert(other.resize(33));
    cr_assert(third.resize(33));
    cr_assert_not(third.resize(limit + 1));
    cr_assert(third.isGivenUp());
    cr_assert_not(one.isGivenUp());
}

Test(answer_budget, keepsFinishedAnswersThatTheirCallersHaveNotTaken)
{
    answer_budget budget(limit);
    answer_budget::share finished(budget, nullptr);
    cr_assert(finished.resize(60));
    cr_assert(finished.finish());
    answer_budget::share other(budget, nullptr);
    cr_assert(other.resize(40));
    cr_assert_not(other.resize(41));
    cr_assert_not(finished.isGivenUp());
    expectEqual(budget.heldBytes(), 60U);
}

// Callers that did not take their answers left the answers of all others no room.
Test(answer_budget, leavesUnfinishedAnswersAPartBesideFinishedOnes)
{
    answer_budget budget(limit);
    answer_budget::share finished(budget, nullptr);
    cr_assert(finished.resize(95));
    cr_assert(finished.finish());
    answer_budget::share one(budget, nullptr);
    answer_budget::share other(budget, nullptr);
    cr_assert(one.resize(15));
    cr_assert(other.resize(10));
    cr_assert_not(one.resize(16));
    cr_assert_not(other.finish());
    expectEqual(budget.heldBytes(), 95U);
}

Test(answer_budget, countsNothingOfAnswersThatAreGone)
{
    answer_budget budget(limit);
    {
        answer_budget::share one(budget, nullptr);
        answer_budget::share finished(budget, nullptr);
        one.resize(10);
        finished.resize(20);
        finished.finish();
        expectEqual(budget.heldBytes(), 30U);
    }
    expectEqual(budget.heldBytes(), 0U);
}

// What reading the store takes at most, and the program without load.
Test(memory_shares, leaveRoomForTheProgramAndTheStore)
{
    constexpr size_t megabyte = 1024 * 1024;
    constexpr size_t own = 60 * megabyte;
    for (const std::int64_t megabytes : { 160, 260, 512 }) {
        const memory_shares shares = memory_shares::of(megabytes);
        const size_t sum = shares.requestBodies + shares.relayedBodies + shares.answers;
        cr_assert_leq(sum + own, static_cast<size_t>(megabytes) * megabyte);
    }
    cr_assert_gt(memory_shares::of(0).answers, megabyte);
}
