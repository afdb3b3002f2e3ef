#include "gateway/relay_history.h"

#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr peer_address peer = 7;

store_relay changesBetween(std::uint64_t from, std::uint64_t to)
{
    store_relay relay;
    relay.fromRevision = from;
    relay.toRevision = to;
    relay.changes = "{}";
    return relay;
}

} // namespace

Test(relay_history, returnsTheMissedRelaysInOrder)
{
    relay_history history;
    history.add(changesBetween(100, 104), at(0));
    history.add(changesBetween(104, 109), at(500));
    history.add(changesBetween(109, 111), at(1'000));
    const auto missing = history.missedRelaysFor(peer, 104, at(1'001));
    expectEqual(missing.size(), 2U);
    expectEqual(missing.front().toRevision, 109U);
    expectEqual(history.missedRelaysFor(8, 111, at(1'001)).size(), 0U);
}

Test(relay_history, returnsNothingForAnInstanceBehindTheHistory)
{
    relay_history history;
    history.add(changesBetween(100, 104), at(0));
    expectEqual(history.missedRelaysFor(peer, 90, at(1)).size(), 0U);
    history.add(changesBetween(104, 105), at(20'000));
    expectEqual(history.missedRelaysFor(peer, 100, at(20'001)).size(), 0U);
}

Test(relay_history, resendsNothingAcrossChangesThatWereTooLargeToRelay)
{
    relay_history history;
    history.add(changesBetween(100, 104), at(0));
    store_relay large = changesBetween(104, 105);
    large.changes.reset();
    history.add(large, at(1));
    history.add(changesBetween(105, 106), at(2));
    expectEqual(history.missedRelaysFor(peer, 104, at(3)).size(), 0U);
    expectEqual(history.missedRelaysFor(peer, 105, at(3)).size(), 1U);
}

Test(relay_history, resendsToAnInstanceOnlyOncePerInterval)
{
    relay_history history;
    history.add(changesBetween(100, 104), at(0));
    expectEqual(history.missedRelaysFor(peer, 100, at(10)).size(), 1U);
    expectEqual(history.missedRelaysFor(peer, 100, at(20)).size(), 0U);
    expectEqual(history.missedRelaysFor(peer, 100, at(200)).size(), 1U);
}

Test(relay_history, forgetsTheChangesOfAnEarlierEra)
{
    relay_history history;
    store_relay before;
    before.era = 1;
    before.fromRevision = 10;
    before.toRevision = 20;
    before.changes = "{}";
    history.add(before, at(0));
    store_relay after = before;
    after.era = 2;
    after.fromRevision = 12;
    after.toRevision = 14;
    history.add(after, at(10));
    expectEqual(history.missedRelaysFor(3, 11, at(20)).size(), 0U);
    expectEqual(history.missedRelaysFor(3, 13, at(20)).size(), 1U);
}

// An instance that had missed a relay kept missing servers on long after the grace period had ended for all others.
Test(relay_history, gracePeriodOfAResentRelayEndsWhenThatOfTheFirstDid)
{
    for (const auto &[age, left] : { std::pair(500, 1'500), std::pair(2'000, 0), std::pair(9'000, 0) }) {
        relay_history history;
        store_relay relay;
        relay.fromRevision = 100;
        relay.toRevision = 101;
        relay.changes = "change";
        relay.graceLeft = std::chrono::milliseconds(2'000);
        history.add(relay, at(0));
        const auto missed = history.missedRelaysFor(2, 100, at(age));
        cr_assert(missed.size() == 1U);
        expectEqual(missed.front().graceLeft.count(), left);
    }
}
