#include "gateway/store_follower.h"

#include "gateway/config_freshness.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;
using kind = store_question::kind;

namespace
{

constexpr milliseconds batchPause{ 600 };

} // namespace

Test(store_follower, readsTheWholeListOnceAndThenChangesFromItsFirstPage)
{
    store_follower follower(batchPause);
    cr_assert(follower.next().what == kind::list);
    cr_assert_not(follower.onPage(100, true, "servers/m", at(0)));
    expectEqual(follower.next().afterKey, "servers/m");
    cr_assert(follower.onPage(120, false, "servers/z", at(1)));
    cr_assert(follower.next().what == kind::changes);
    // Pages are no snapshot: what changed while they were read comes again.
    expectEqual(follower.next().afterRevision, 100U);
}

Test(store_follower, takesChangesUpInBatches)
{
    store_follower follower(batchPause);
    follower.onPage(100, false, "", at(0));
    cr_assert(follower.next().pauseBefore == milliseconds(0));
    cr_assert(follower.onChanges(103, 3, at(10)));
    cr_assert(follower.next().pauseBefore == batchPause);
    cr_assert(follower.onChanges(103, 0, at(10)));
    cr_assert(follower.next().pauseBefore == milliseconds(0));
}

Test(store_follower, neverGoesBackToAnOlderState)
{
    store_follower follower(batchPause);
    follower.onPage(100, false, "", at(0));
    follower.onChanges(110, 1, at(10));
    cr_assert_not(follower.onChanges(105, 1, at(10)));
    expectEqual(follower.next().afterRevision, 110U);
}

Test(store_follower, readsTheListAgainWhenTheHistoryIsGone)
{
    store_follower follower(batchPause);
    follower.onPage(100, false, "", at(0));
    follower.onHistoryGone();
    cr_assert(follower.next().what == kind::list);
}

Test(store_follower, asksAStoreThatIsAwayMoreSlowlyAndSettlesAfterIt)
{
    store_follower follower(batchPause);
    follower.onPage(100, false, "", at(0));
    follower.onFailure();
    cr_assert(follower.next().pauseBefore == milliseconds(100));
    for (int count = 0; count < 20; ++count) {
        follower.onFailure();
    }
    cr_assert(follower.next().pauseBefore == milliseconds(800));
    cr_assert_not(follower.isReachable());
    follower.onChanges(101, 1, at(5'000));
    cr_assert(follower.isReachable());
    cr_assert(follower.settledAt() == at(7'000));
    follower.onChanges(102, 1, at(6'000));
    cr_assert(follower.settledAt() == at(7'000));
}

Test(config_freshness, countsFromTheQuestionAndNotFromTheAnswer)
{
    config_freshness freshness(milliseconds(4'000));
    cr_assert_not(freshness.isFresh(at(0)));
    freshness.confirm(at(1'000));
    cr_assert(freshness.isFresh(at(4'999)));
    cr_assert_not(freshness.isFresh(at(5'000)));
}

Test(config_freshness, anOlderConfirmationThatComesLateChangesNothing)
{
    config_freshness freshness(milliseconds(4'000));
    freshness.confirm(at(3'000));
    freshness.confirm(at(1'000));
    cr_assert(freshness.isFresh(at(6'999)));
}

Test(store_follower, takesUpWhatAnotherInstanceReadUnlessSomethingBeforeItIsMissing)
{
    store_follower follower(batchPause);
    follower.onPage(100, false, "", at(0));
    cr_assert(follower.onRelay(95, 110, at(0)));
    expectEqual(follower.revision(), 110U);
    cr_assert_not(follower.onRelay(112, 120, at(0)));
    expectEqual(follower.revision(), 110U);
    cr_assert(follower.onRelay(90, 105, at(0)));
    expectEqual(follower.revision(), 110U);
}

Test(store_follower, keepsMissingServersAsLongAsTheInstanceThatSawTheOutage)
{
    store_follower follower(batchPause);
    follower.onPage(100, false, "", at(0));
    follower.onRelay(100, 110, at(3'000));
    cr_assert(follower.settledAt() == at(3'000));
}

// The store turned this instance away long ago and served the others: no server is missing for that.
Test(store_follower, anOutageThatOthersSawEndIsOverHereToo)
{
    store_follower follower(batchPause);
    follower.onPage(100, false, "", at(0));
    follower.onFailure();
    follower.onRelay(100, 110, at(0));
    follower.onChanges(120, 1, at(30'000));
    cr_assert_lt(follower.settledAt().time_since_epoch().count(), at(30'000).time_since_epoch().count());
}
