#include "tests/fleet_checks.h"

#include "testing/expect.h"

#include "testing/criterion.h"

using namespace mustardtrail;
using namespace mustardtrail::membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(partition, bothSidesServeAndTheHighestRevisionWinsAfterHealing)
{
    fake_fleet fleet({ .nodes = 9, .dataCentres = 3 });
    fleet.run(seconds(5));
    const std::int64_t old = fleet.platform.revision();
    fleet.isCut = [&](int from, int to) {
        return (fleet.dataCentreOf(from) == 0) != (fleet.dataCentreOf(to) == 0);
    };
    fleet.platformIsCut = [&](int node) {
        return fleet.dataCentreOf(node) == 0;
    };
    fleet.run(seconds(2));
    fleet.publish("data_centres", dataCentresValue(3, { 2 }));
    fleet.run(seconds(20));
    cr_assert(everyone(fleet, [&](int index) {
        return fleet.isConfirmed(index) && !fleet.view(index)->isolated;
    }));
    testing::expectEqual(fleet.view(0)->config->revision, old);
    testing::expectEqual(fleet.view(1)->config->revision, fleet.platform.revision());
    testing::expectEqual(ownerAt(fleet, 0, "g1-1"), ownerAt(fleet, 3, "g1-1"));

    bool lostOwn = false;
    fleet.onAction = [&](int index, const view_action &) {
        const int local = (index + 3) % 9;
        lostOwn = lostOwn || fleet.stateAt(index, local) == peer_state::dead;
    };
    fleet.isCut = {};
    const auto took = fleet.runUntil(
        [&] {
            return allAtRevision(fleet);
        },
        seconds(3));
    cr_assert(took.has_value());
    cr_assert(fleet.runUntil(
        [&] {
            return everyone(fleet, [&](int index) {
                return allSee(fleet, index, peer_state::alive);
            });
        },
        seconds(10)));
    cr_assert_not(lostOwn, "news of a cut data centre must not bury members of another");
}

namespace
{

/// Whether the first node ever suspects a member that it cannot reach itself but the others can.
bool suspectsBehindCut(bool indirectProbes, bool oneWay)
{
    fake_fleet fleet({ .nodes = 5, .adjust = [=](view_settings &settings) {
                          settings.detector.indirectProbes = indirectProbes;
                      } });
    fleet.run(seconds(5));
    fleet.isCut = [oneWay](int from, int to) {
        return (from == 0 && to == 1) || (!oneWay && from == 1 && to == 0);
    };
    bool suspected = false;
    fleet.onAction = [&](int, const view_action &) {
        suspected = suspected || fleet.stateAt(0, 1) != peer_state::alive;
    };
    fleet.run(seconds(30));
    return suspected;
}

} // namespace

Test(partition, cutTowardsOneMemberIsBridgedByHelpers)
{
    cr_assert_not(suspectsBehindCut(true, true));
    cr_assert_not(suspectsBehindCut(true, false));
    cr_assert(suspectsBehindCut(false, false), "without helpers it is noticed");
}

Test(partition, lostDoubledAndReorderedDatagramsKillNobody)
{
    fake_fleet fleet({ .nodes = 9, .dataCentres = 3 });
    fleet.lossPercent = 10;
    fleet.duplicatePercent = 20;
    fleet.longestDelay = milliseconds(40);
    fleet.run(seconds(5));
    bool died = false;
    fleet.onAction = [&](int index, const view_action &) {
        const auto &peers = fleet.view(index)->peers;
        for (const auto &[id, known] : peers) {
            died = died || known.state == peer_state::dead;
        }
    };
    fleet.run(seconds(60));
    cr_assert_not(died);
    fleet.publish("data_centres", dataCentresValue(3, { 2 }));
    cr_assert(fleet.runUntil(
        [&] {
            return allAtRevision(fleet);
        },
        seconds(3)));
}

Test(partition, viewsThatDifferOverlapOnlyForABoundedTime)
{
    fake_fleet fleet({ .nodes = 3, .serversPerDataCentre = 30 });
    fleet.run(seconds(5));
    fleet.isCut = [](int from, int to) {
        return (from == 0) != (to == 0);
    };
    milliseconds overlap{ 0 };
    constexpr milliseconds step{ 10 };
    for (milliseconds passed{ 0 }; passed < seconds(10); passed += step) {
        fleet.run(step);
        bool both = false;
        for (const auto &[id, assignment] : fleet.view(0)->backends) {
            const bool claimedByTwo = assignment.owner == instance_id("e1") && ownerAt(fleet, 1, id.str()) != instance_id("e1");
            both = both || (claimedByTwo && fleet.isConfirmed(0) && !fleet.view(0)->isolated);
        }
        overlap += both ? step : milliseconds(0);
    }
    cr_assert(overlap <= viewLease, "a node without contact that is not isolated acts no longer than its lease");
    cr_assert(fleet.view(0)->isolated);
}
