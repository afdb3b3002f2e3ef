#include "request/tests/fixture.h"

#include "request/key_home.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::request;
using namespace mustardtrail::request::testing;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr int windowMs = 1000;

key_home_options smallOptions()
{
    key_home_options options;
    options.window = milliseconds(windowMs);
    options.maxEntries = 2;
    return options;
}

/// Returns a key whose home data centre is dc1, so that its homes are e1 and e2.
std::string keyOf(int number)
{
    std::string key;
    for (int index = 0, found = -1; found < number; ++index) {
        key = std::to_string(index);
        const std::vector<data_centre_id> dataCentres{ data_centre_id("dc1"), data_centre_id("dc2") };
        found += homeDataCentre(dataCentres, customer_id("c1"), key) == data_centre_id("dc1") ? 1 : 0;
    }
    return key;
}

key_claim claimOf(const std::string &request, const std::string &key)
{
    return { request_id(request), instance_id("e9"), customer_id("c1"), key, 1, milliseconds(500) };
}

key_home makeHome()
{
    key_home home(smallOptions(), instance_id("e1"));
    home.onView(makeView("e1", at(0)));
    return home;
}

key_outcome outcomeOf(const std::string &request, const std::string &key, verdict outcome)
{
    return { request_id(request), customer_id("c1"), key, outcome };
}

} // namespace

Test(key_home, notRunReleasesTheKeyOnlyFromItsHolder)
{
    key_home home = makeHome();
    home.claim(claimOf("r1", keyOf(0)), at(1));
    home.recordOutcome(outcomeOf("r2", keyOf(0), verdict::not_run), at(2));
    cr_assert(home.claim(claimOf("r3", keyOf(0)), at(3)).status == key_claim_status::duplicate);
    home.recordOutcome(outcomeOf("r1", keyOf(0), verdict::not_run), at(4));
    cr_assert(home.claim(claimOf("r3", keyOf(0)), at(5)).status == key_claim_status::granted);
    home.recordOutcome(outcomeOf("r3", keyOf(0), verdict::ran), at(6));
    home.recordOutcome(outcomeOf("r3", keyOf(0), verdict::not_run), at(7));
    cr_assert(home.claim(claimOf("r4", keyOf(0)), at(8)).outcome == verdict::ran);
}

Test(key_home, holdsKeysForTheWindowAndRefusesBeyondItsLimit)
{
    key_home home = makeHome();
    home.claim(claimOf("r1", keyOf(0)), at(1));
    home.claim(claimOf("r2", keyOf(1)), at(2));
    const key_claim_reply full = home.claim(claimOf("r3", keyOf(2)), at(3));
    expectEqual(toString(full.code), "MT-4011");
    expectEqual(full.retryAfter->count(), 1498);
    // Without an outcome a key is held for the remaining time of its request plus the window.
    home.onView(makeView("e1", at(1000)));
    cr_assert(home.claim(claimOf("r4", keyOf(0)), at(1500)).status == key_claim_status::duplicate);
    cr_assert(home.claim(claimOf("r4", keyOf(0)), at(1501)).status == key_claim_status::granted);
    expectEqual(home.size(), 2U);
}

Test(key_home, historyIsIncompleteForTheWindowAndTheLongestTarget)
{
    key_home home = makeHome();
    // The window of 1,000 ms plus the longest total target, 5,000 ms.
    for (int ms = 500; ms <= 6000; ms += 500) {
        home.onView(makeView("e1", at(ms)));
    }
    cr_assert(home.claim(claimOf("r1", keyOf(0)), at(5999)).incompleteHistory);
    cr_assert_not(home.claim(claimOf("r1", keyOf(0)), at(6001)).incompleteHistory);
}

Test(key_home, aGapInViewConfirmationsResetsTheHistory)
{
    key_home home = makeHome();
    home.onView(makeView("e1", at(3000)));
    cr_assert(home.claim(claimOf("r1", keyOf(0)), at(3001)).incompleteHistory);
}

Test(key_home, entriesSurviveViewChanges)
{
    key_home home = makeHome();
    home.claim(claimOf("r1", keyOf(0)), at(1));
    home.onView(makeView("e1", at(100), { "e2" }));
    home.onView(makeView("e1", at(200)));
    cr_assert(home.claim(claimOf("r2", keyOf(0)), at(201)).status == key_claim_status::duplicate);
}

Test(key_home, refusesClaimsOnAnUnconfirmedOrIsolatedView)
{
    key_home home = makeHome();
    expectEqual(toString(home.claim(claimOf("r1", keyOf(0)), at(1000)).code), "MT-4008");
    const auto isolated = makeView("e1", at(1000));
    isolated->isolated = true;
    home.onView(isolated);
    expectEqual(toString(home.claim(claimOf("r1", keyOf(0)), at(1001)).code), "MT-4008");
    key_home elsewhere(smallOptions(), instance_id("e3"));
    elsewhere.onView(makeView("e3", at(0)));
    expectEqual(toString(elsewhere.claim(claimOf("r1", keyOf(0)), at(1)).code), "MT-6004");
}

Test(key_home, handsKeysToTheSuccessorOfADeadHome)
{
    key_home home = makeHome();
    home.claim(claimOf("r1", keyOf(0)), at(1));
    home.recordOutcome(outcomeOf("r1", keyOf(0), verdict::ran), at(2));
    cr_assert(home.handOverToNewHomes(at(3)).empty());
    home.onView(makeView("e1", at(100), { "e2" }));
    cr_assert(home.handOverToNewHomes(at(100)).empty());
    home.onView(makeView("e1", at(200)));
    const std::vector<key_handover> messages = home.handOverToNewHomes(at(200));
    expectEqual(messages.size(), 1U);
    expectEqual(messages.front().home.str(), "e2");
    key_home successor(smallOptions(), instance_id("e2"));
    successor.onView(makeView("e2", at(200)));
    successor.acceptHandover(messages.front(), at(201));
    cr_assert(successor.claim(claimOf("r2", keyOf(0)), at(202)).status == key_claim_status::duplicate);
    home.onView(makeView("e1", at(300)));
    cr_assert(home.handOverToNewHomes(at(300)).empty());
}

Test(key_home, handsKeysToARestartedHome)
{
    key_home home = makeHome();
    home.claim(claimOf("r1", keyOf(0)), at(1));
    home.recordOutcome(outcomeOf("r1", keyOf(0), verdict::may_have_run), at(2));
    const auto restarted = makeView("e1", at(100));
    restarted->peers.at(instance_id("e2")).incarnation = 7;
    home.onView(restarted);
    expectEqual(home.handOverToNewHomes(at(100)).size(), 1U);
}

Test(key_home, handsOverKeysOnlyOnceTheirOutcomeIsKnown)
{
    key_home home = makeHome();
    home.claim(claimOf("r1", keyOf(0)), at(1));
    home.claim(claimOf("r2", keyOf(1)), at(1));
    const auto restarted = makeView("e1", at(100));
    restarted->peers.at(instance_id("e2")).incarnation = 7;
    home.onView(restarted);
    cr_assert(home.handOverToNewHomes(at(100)).empty());
    home.recordOutcome(outcomeOf("r1", keyOf(0), verdict::ran), at(150));
    home.recordOutcome(outcomeOf("r2", keyOf(1), verdict::not_run), at(150));
    const std::vector<key_handover> messages = home.handOverToNewHomes(at(200));
    expectEqual(messages.size(), 1U);
    expectEqual(messages.front().keys.size(), 1U);
    expectEqual(messages.front().keys.front().request.str(), "r1");
}
