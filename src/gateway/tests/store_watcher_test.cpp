#include "gateway/store_watcher.h"

#include "gateway/config_freshness.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;
using kind = store_query::kind;

namespace
{

constexpr milliseconds batchDelay{ 600 };
constexpr milliseconds reconnectLimit{ 3'000 };

} // namespace

Test(store_watcher, listsOnceAndThenWatchesFromTheRevisionOfTheFirstPage)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    cr_assert(watcher.nextQuery().type == kind::list);
    cr_assert_not(watcher.onPage(100, true, "servers/m", at(0)));
    expectEqual(watcher.nextQuery().afterKey, "servers/m");
    cr_assert(watcher.onPage(120, false, "servers/z", at(1)));
    cr_assert(watcher.nextQuery().type == kind::changes);
    // The pages are not one snapshot, so changes made while they were read are read again.
    expectEqual(watcher.nextQuery().afterRevision, 100U);
}

Test(store_watcher, readsChangesInBatches)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    cr_assert(watcher.nextQuery().delay == milliseconds(0));
    cr_assert(watcher.onChanges(103, 3, at(10)));
    cr_assert(watcher.nextQuery().delay == batchDelay);
    cr_assert(watcher.onChanges(103, 0, at(10)));
    cr_assert(watcher.nextQuery().delay == milliseconds(0));
}

Test(store_watcher, rejectsAResponseWithAnOlderRevision)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    watcher.onChanges(110, 1, at(10));
    cr_assert_not(watcher.onChanges(105, 1, at(10)));
    expectEqual(watcher.nextQuery().afterRevision, 110U);
}

Test(store_watcher, listsAgainWhenTheStoreDroppedItsHistory)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    watcher.onHistoryGone();
    cr_assert(watcher.nextQuery().type == kind::list);
}

Test(store_watcher, backsOffDuringAnOutageAndStartsAGracePeriodAfterIt)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    watcher.onFailure();
    cr_assert(watcher.nextQuery().delay == milliseconds(100));
    for (int count = 0; count < 20; ++count) {
        watcher.onFailure();
    }
    cr_assert(watcher.nextQuery().delay == milliseconds(800));
    cr_assert_not(watcher.isReachable());
    watcher.onChanges(101, 1, at(5'000));
    cr_assert(watcher.isReachable());
    cr_assert(watcher.graceUntil() == at(7'000));
    watcher.onChanges(102, 1, at(6'000));
    cr_assert(watcher.graceUntil() == at(7'000));
}

// A server that was removed while the kept connection to the store was silent was used for 2 s more.
Test(store_watcher, graceAfterASilentConnectionEndsWithTheReconnectLimit)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    watcher.onChanges(101, 0, at(500));
    watcher.onFailure();
    watcher.onChanges(102, 1, at(2'100));
    cr_assert(watcher.graceUntil() == at(3'500));
}

Test(store_watcher, graceAfterASilentConnectionCountsFromTheLastAnswerOrRelay)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    watcher.onRelay(100, 101, at(0), at(8'000));
    watcher.onFailure();
    watcher.onChanges(102, 1, at(9'600));
    cr_assert(watcher.graceUntil() == at(10'000));
}

// A store that refuses calls beyond its limit holds the entries of all servers, so one that goes missing has left.
Test(store_watcher, callsBeyondTheLimitStartNoGracePeriod)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    for (int count = 1; count <= 4; ++count) {
        watcher.onFailure(store_failure::beyond_limit);
    }
    cr_assert(watcher.nextQuery().delay == milliseconds(800));
    watcher.onChanges(101, 1, at(2'000));
    cr_assert(watcher.graceUntil() <= at(2'000));
    watcher.onFailure(store_failure::beyond_limit);
    watcher.onFailure();
    watcher.onFailure();
    watcher.onChanges(102, 1, at(5'000));
    cr_assert(watcher.graceUntil() == at(7'000));
}

// The store has answered, so a server that the list lacks has left.
Test(store_watcher, changesTooLargeToReadAreListedAndStartNoGracePeriod)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    watcher.onChanges(101, 0, at(500));
    watcher.onFailure(store_failure::too_large);
    cr_assert(watcher.nextQuery().type == kind::list);
    cr_assert_not(watcher.nextQuery().mayBeStale);
    cr_assert(watcher.nextQuery().delay == milliseconds(100));
    cr_assert(watcher.onPage(108, false, "", at(1'000)));
    cr_assert(watcher.graceUntil() <= at(1'000));
}

// Nothing else tells when the store was last known to answer while another instance reads it and nothing changes.
Test(store_watcher, graceAfterASilentConnectionCountsFromARelayWithoutChanges)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    watcher.onChanges(101, 0, at(500));
    watcher.onRelayOfKnownRevision(101, at(8'000));
    watcher.onFailure();
    watcher.onChanges(102, 1, at(9'600));
    cr_assert(watcher.graceUntil() == at(10'000));
}

Test(store_watcher, aRelayThatIsBehindTellsNothingForTheGracePeriod)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    watcher.onChanges(101, 0, at(500));
    watcher.onRelayOfKnownRevision(100, at(8'000));
    watcher.onFailure();
    watcher.onChanges(102, 1, at(9'600));
    cr_assert(watcher.graceUntil() <= at(9'600));
}

Test(config_freshness, countsFromTheQueryAndNotFromTheResponse)
{
    config_freshness freshness(milliseconds(4'000));
    cr_assert_not(freshness.isFresh(at(0)));
    freshness.confirm(at(1'000));
    cr_assert(freshness.isFresh(at(4'999)));
    cr_assert_not(freshness.isFresh(at(5'000)));
}

Test(config_freshness, ignoresAnOlderConfirmationThatArrivesLate)
{
    config_freshness freshness(milliseconds(4'000));
    freshness.confirm(at(3'000));
    freshness.confirm(at(1'000));
    cr_assert(freshness.isFresh(at(6'999)));
}

Test(store_watcher, acceptsRelayedChangesUnlessEarlierOnesAreMissing)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    cr_assert(watcher.onRelay(95, 110, at(0), at(0)));
    expectEqual(watcher.revision(), 110U);
    cr_assert_not(watcher.onRelay(112, 120, at(0), at(0)));
    expectEqual(watcher.revision(), 110U);
    cr_assert(watcher.onRelay(90, 105, at(0), at(0)));
    expectEqual(watcher.revision(), 110U);
}

Test(store_watcher, adoptsTheGracePeriodOfTheRelayingInstance)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    watcher.onRelay(100, 110, at(3'000), at(1'000));
    cr_assert(watcher.graceUntil() == at(3'000));
}

// The store refused this instance long ago and kept serving the others: missing servers are no result of that.
Test(store_watcher, aRelayEndsTheOutageOfThisInstance)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    watcher.onFailure();
    watcher.onRelay(100, 110, at(0), at(0));
    watcher.onChanges(120, 1, at(30'000));
    cr_assert_lt(watcher.graceUntil().time_since_epoch().count(), at(30'000).time_since_epoch().count());
}

Test(store_watcher, restoredStoreIsListedAnewThoughItsRevisionsWentBack)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    cr_assert(watcher.onEra(4, at(0)));
    watcher.onPage(100, false, "", at(0));
    cr_assert(watcher.onEra(5, at(10)));
    cr_assert(watcher.nextQuery().type == kind::list);
    cr_assert(watcher.isFirstListOfEra());
    cr_assert(watcher.onPage(60, false, "", at(20)));
    expectEqual(watcher.nextQuery().afterRevision, 60U);
    cr_assert(watcher.onChanges(61, 1, at(30)));
    const store_position expected{ 5, 61 };
    cr_assert(watcher.position() == expected);
}

Test(store_watcher, answerOfAnOlderEraIsRejected)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onEra(5, at(0));
    watcher.onPage(60, false, "", at(0));
    cr_assert_not(watcher.onEra(4, at(10)));
    cr_assert(watcher.hasList());
    cr_assert_not(watcher.onEra(0, at(10)));
}

Test(store_watcher, firstEraIsNoRestore)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    cr_assert(watcher.onEra(0, at(0))); // An instance that has not read the store yet.
    cr_assert(watcher.onEra(7, at(0)));
    cr_assert_not(watcher.isFirstListOfEra());
    cr_assert_not(watcher.isSettling(at(0)));
}

// A key that was taken away after the first restore of a store that counts from 0 stayed in use.
Test(store_watcher, riseFromEraZeroIsARestore)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    cr_assert(watcher.onEra(0, at(0)));
    watcher.onPage(107, false, "", at(0));
    cr_assert(watcher.onEra(1, at(10)));
    cr_assert(watcher.nextQuery().type == kind::list);
    cr_assert(watcher.isFirstListOfEra());
    cr_assert(watcher.isSettling(at(10)));
    cr_assert(watcher.onPage(104, false, "", at(20)));
    expectEqual(watcher.nextQuery().afterRevision, 104U);
}

Test(store_watcher, riseFromEraZeroIsARestoreBetweenThePagesOfAList)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onEra(0, at(0));
    watcher.onPage(107, true, "servers/m", at(0));
    cr_assert(watcher.onEra(1, at(10)));
    expectEqual(watcher.nextQuery().afterKey, "");
    cr_assert(watcher.isFirstListOfEra());
}

// Instances that do not know the era yet report 0.
Test(store_watcher, eraThatAnotherInstanceDoesNotKnowChangesNothing)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onEra(1, at(0));
    watcher.onPage(100, false, "", at(0));
    cr_assert_not(watcher.onEra(0, at(10)));
    cr_assert(watcher.hasList());
}

// An instance listed and watched in turn, without a pause, while the store was behind the revision it knew.
Test(store_watcher, pausesWhenTheHistoryIsGoneAgainAfterAList)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    watcher.onChanges(107, 1, at(10));
    watcher.onHistoryGone();
    cr_assert(watcher.nextQuery().delay == milliseconds(0));
    watcher.onPage(104, false, "", at(20));
    watcher.onHistoryGone();
    cr_assert(watcher.nextQuery().delay == milliseconds(100));
    watcher.onPage(105, false, "", at(130));
    cr_assert(watcher.nextQuery().delay == milliseconds(0));
    watcher.onHistoryGone();
    cr_assert(watcher.nextQuery().delay == milliseconds(200));
    watcher.onPage(108, false, "", at(400));
    watcher.onChanges(108, 0, at(410));
    watcher.onHistoryGone();
    cr_assert(watcher.nextQuery().delay == milliseconds(0));
}

Test(store_watcher, serversThatTheCopyLacksAreKeptUntilTheyAreWrittenAgain)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onEra(1, at(0));
    watcher.onPage(100, false, "", at(0));
    watcher.onEra(2, at(1'000));
    cr_assert(watcher.isSettling(at(2'900)));
    cr_assert(watcher.graceUntil() >= at(3'000));
    cr_assert_not(watcher.isSettling(at(3'000)));
}

Test(store_watcher, storeThatTellsNoEraWorksAsBefore)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    cr_assert_not(watcher.onChanges(90, 1, at(10)));
    expectEqual(watcher.position().revision, 100U);
}

Test(store_watcher, firstListMayBeStaleAsTheChangesSinceAreReadAtOnce)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    cr_assert(watcher.nextQuery().mayBeStale);
    // The pages come from copies of different age.
    watcher.onPage(100, true, "servers/m", at(0));
    watcher.onPage(95, false, "servers/z", at(1));
    cr_assert_not(watcher.isListConfirmed());
    const store_query next = watcher.nextQuery();
    cr_assert(next.type == kind::changes);
    expectEqual(next.afterRevision, 95U);
    cr_assert(next.longPollTimeout == milliseconds(0));
    watcher.onChanges(110, 4, at(2));
    cr_assert(watcher.isListConfirmed());
    cr_assert(watcher.nextQuery().longPollTimeout == store_watcher::longPollTimeout);
}

Test(store_watcher, listIsNotStaleAfterTheHistoryWasGone)
{
    store_watcher watcher(batchDelay, reconnectLimit);
    watcher.onPage(100, false, "", at(0));
    watcher.onHistoryGone();
    cr_assert_not(watcher.nextQuery().mayBeStale);
    watcher.onPage(130, false, "", at(10));
    cr_assert(watcher.isListConfirmed());
}
