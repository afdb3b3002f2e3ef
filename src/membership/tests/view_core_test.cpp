#include "tests/fleet_checks.h"

#include "testing/expect.h"

#include "testing/criterion.h"

#include <algorithm>

using namespace mustardtrail;
using namespace mustardtrail::membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(view_core, startsConfirmedAndAgreesOnOwners)
{
    fake_fleet fleet({ .nodes = 9, .dataCentres = 3 });
    fleet.run(seconds(5));
    cr_assert(everyone(fleet, [&](int index) {
        return fleet.isConfirmed(index) && !fleet.view(index)->isolated && fleet.view(index)->peers.size() == 8;
    }));
    for (const auto &entry : fleet.view(0)->backends) {
        cr_assert(entry.second.acceptsNewWork);
        cr_assert(everyone(fleet, [&](int index) {
            return fleet.view(index)->backends.at(entry.first).owner == entry.second.owner;
        }));
    }
}

Test(view_core, drainsEverywhereWithinThreeSeconds)
{
    fake_fleet fleet({ .nodes = 9, .dataCentres = 3 });
    fleet.run(seconds(5));
    fleet.publish("data_centres", dataCentresValue(3, { 1 }));
    const auto took = fleet.runUntil(
        [&] {
            return everyone(fleet, [&](int index) {
                return !acceptsWork(fleet, index, "g2-1");
            });
        },
        seconds(3));
    cr_assert(took.has_value());
    cr_assert(acceptsWork(fleet, 0, "g1-1"));
    fleet.publish("data_centres", dataCentresValue(3));
    cr_assert(fleet.runUntil(
        [&] {
            return everyone(fleet, [&](int index) {
                return acceptsWork(fleet, index, "g2-1");
            });
        },
        seconds(3)));
    cr_assert(allAtRevision(fleet));
}

Test(view_core, deathOfANodeMovesOnlyItsServers)
{
    fake_fleet fleet({ .nodes = 3, .serversPerDataCentre = 30 });
    fleet.run(seconds(5));
    const auto before = fleet.view(0)->backends;
    fleet.kill(2);
    const auto took = fleet.runUntil(
        [&] {
            return allSee(fleet, 2, peer_state::dead);
        },
        seconds(6));
    cr_assert(took.has_value());
    cr_assert(took >= viewLease, "a node that lost contact may act for its lease");
    for (const auto &[id, assignment] : before) {
        const instance_id owner = fleet.view(0)->backends.at(id).owner;
        cr_assert(owner == assignment.owner || assignment.owner == instance_id("e3"));
        cr_assert(owner == fleet.view(1)->backends.at(id).owner && owner != instance_id("e3"));
    }
}

Test(view_core, leavingAndAbsentBackendServersGetNoNewWork)
{
    fake_fleet fleet({ .nodes = 9, .dataCentres = 3 });
    fleet.run(seconds(5));
    fleet.platform.entries["g1-1"].state = listing_state::leaving;
    fleet.platform.entries.erase("g2-1");
    const auto took = fleet.runUntil(
        [&] {
            return everyone(fleet, [&](int index) {
                return !acceptsWork(fleet, index, "g1-1") && !acceptsWork(fleet, index, "g2-1");
            });
        },
        seconds(3));
    cr_assert(took.has_value());
    cr_assert(everyone(fleet, [&](int index) {
        return acceptsWork(fleet, index, "g1-2");
    }));
}

Test(view_core, plannedStopHandsOwnershipOver)
{
    fake_fleet fleet({ .nodes = 3, .serversPerDataCentre = 12 });
    fleet.run(seconds(5));
    fleet.deliver(1, begin_stop{});
    cr_assert(fleet.view(1)->selfLeaving);
    cr_assert(fleet.runUntil(
        [&] {
            return allSee(fleet, 1, peer_state::leaving);
        },
        seconds(3)));
    cr_assert(everyone(fleet, [&](int index) {
        const auto &backends = fleet.view(index)->backends;
        return std::none_of(backends.begin(), backends.end(), [](const auto &entry) {
            return entry.second.owner == instance_id("e2");
        });
    }));
    fleet.kill(1);
    cr_assert(fleet.runUntil(
        [&] {
            return allSee(fleet, 1, peer_state::dead);
        },
        seconds(10)));
}

Test(view_core, listedAsLeavingOwnsNothingUntilListedAsLiveAgain)
{
    fake_fleet fleet({ .nodes = 3, .serversPerDataCentre = 12 });
    fleet.run(seconds(5));
    const auto ownsNothing = [&](int index) {
        const auto &backends = fleet.view(index)->backends;
        return std::none_of(backends.begin(), backends.end(), [](const auto &entry) {
            return entry.second.owner == instance_id("e2");
        });
    };
    cr_assert_not(ownsNothing(1));
    fleet.platform.entries["e2"].state = listing_state::leaving;
    cr_assert(fleet.runUntil(
        [&] {
            return fleet.view(1)->selfLeaving && everyone(fleet, ownsNothing);
        },
        seconds(3)));
    fleet.platform.entries["e2"].state = listing_state::live;
    cr_assert(fleet.runUntil(
        [&] {
            return !fleet.view(1)->selfLeaving && !ownsNothing(0) && !ownsNothing(1) && !ownsNothing(2);
        },
        seconds(3)));
}

Test(view_core, pausedProcessConfirmsOnlyAfterARefresh)
{
    fake_fleet fleet({ .nodes = 3 });
    fleet.run(seconds(5));
    fleet.pause(0);
    fleet.publish("data_centres", dataCentresValue(1, { 0 }));
    fleet.run(seconds(10));
    cr_assert(allSee(fleet, 0, peer_state::dead));
    bool sawOldConfirmed = false;
    fleet.onAction = [&](int index, const view_action &action) {
        const auto *published = std::get_if<publish_view>(&action);
        const bool isOld = index == 0 && published != nullptr && published->view->config->revision < fleet.platform.revision();
        sawOldConfirmed = sawOldConfirmed || (isOld && published->view->isConfirmed(fleet.now()));
    };
    fleet.wake(0);
    cr_assert_not(fleet.isConfirmed(0));
    cr_assert(fleet.runUntil(
        [&] {
            return fleet.isConfirmed(0);
        },
        seconds(3)));
    cr_assert_not(sawOldConfirmed);
    cr_assert_not(acceptsWork(fleet, 0, "g1-1"));
    cr_assert(fleet.runUntil(
                  [&] {
                      return allSee(fleet, 0, peer_state::alive);
                  },
                  seconds(3)),
        "it contradicts its death");
}

Test(view_core, ownershipAfterALongPauseStartsAnew)
{
    fake_fleet fleet({ .nodes = 2, .serversPerDataCentre = 12 });
    fleet.run(seconds(5));
    const auto before = fleet.view(0)->backends;
    fleet.pause(0);
    fleet.run(seconds(6));
    const auto successor = fleet.view(1)->backends;
    fleet.wake(0);
    fleet.run(seconds(3));
    for (const auto &[id, assignment] : before) {
        if (assignment.owner == instance_id("e1")) {
            const auto &after = fleet.view(0)->backends.at(id);
            cr_assert(after.ownedSince > assignment.ownedSince);
            cr_assert(successor.at(id).fencingNumber > assignment.fencingNumber);
            cr_assert(after.fencingNumber > successor.at(id).fencingNumber);
        }
    }
}

Test(view_core, fencingGrowsAlthoughTheSuccessorsWallClockIsBehind)
{
    fake_fleet fleet({ .nodes = 2, .serversPerDataCentre = 12 });
    fleet.at(1).wallSkew = std::chrono::hours(-2);
    fleet.run(seconds(5));
    const auto before = fleet.view(0)->backends;
    fleet.kill(0);
    fleet.run(seconds(6));
    for (const auto &[id, assignment] : before) {
        cr_assert(fleet.view(1)->backends.at(id).fencingNumber > assignment.fencingNumber || assignment.owner == instance_id("e2"));
        cr_assert(fleet.view(1)->backends.at(id).owner == instance_id("e2"));
    }
    fleet.deliver(1, fencing_seen{ backend_server_id("g1-1"), std::uint64_t(1) << 60 });
    fleet.run(seconds(1));
    cr_assert(fleet.view(1)->backends.at(backend_server_id("g1-1")).fencingNumber < std::uint64_t(1) << 53, "garbage is not followed");
}

Test(view_core, restartWithANewIncarnationIsAliveAgain)
{
    fake_fleet fleet({ .nodes = 9, .dataCentres = 3 });
    fleet.run(seconds(5));
    fleet.kill(4);
    fleet.run(seconds(8));
    cr_assert(allSee(fleet, 4, peer_state::dead));
    fleet.restart(4);
    cr_assert(fleet.runUntil(
        [&] {
            return allSee(fleet, 4, peer_state::alive) && fleet.isConfirmed(4);
        },
        seconds(5)));
    cr_assert(everyone(fleet, [&](int index) {
        return index == 4 || fleet.view(index)->peers.at(instance_id("e5")).incarnation == 2;
    }));
}

Test(view_core, isolatedNodeServesItsOwnAndRejoins)
{
    fake_fleet fleet({ .nodes = 3, .serversPerDataCentre = 12 });
    fleet.run(seconds(5));
    fleet.isCut = [](int from, int to) {
        return from == 0 || to == 0;
    };
    cr_assert(fleet.runUntil(
        [&] {
            return fleet.view(0)->isolated && fleet.isConfirmed(0);
        },
        seconds(3)));
    fleet.run(seconds(10));
    cr_assert(fleet.isConfirmed(0));
    cr_assert_not(fleet.view(1)->isolated);
    fleet.isCut = {};
    cr_assert(fleet.runUntil(
        [&] {
            return !fleet.view(0)->isolated && allSee(fleet, 0, peer_state::alive);
        },
        seconds(5)));
    cr_assert(allSee(fleet, 1, peer_state::alive) && allSee(fleet, 2, peer_state::alive));
    for (const auto &[id, assignment] : fleet.view(0)->backends) {
        cr_assert(assignment.owner == ownerAt(fleet, 1, id.str()));
    }
}

Test(view_core, oneNodeAloneIsConfirmedAndNotIsolated)
{
    fake_fleet fleet({ .nodes = 1 });
    fleet.run(seconds(5));
    cr_assert(fleet.isConfirmed(0));
    cr_assert_not(fleet.view(0)->isolated);
}

Test(view_core, instanceOutOfServiceOwnsNothing)
{
    fake_fleet fleet({ .nodes = 3, .serversPerDataCentre = 12 });
    fleet.run(seconds(5));
    fleet.publish("instances", R"([{"id":"e2","in_service":false}])");
    cr_assert(fleet.runUntil(
        [&] {
            return allAtRevision(fleet);
        },
        seconds(3)));
    cr_assert(everyone(fleet, [&](int index) {
        const auto &backends = fleet.view(index)->backends;
        return std::none_of(backends.begin(), backends.end(), [](const auto &entry) {
            return entry.second.owner == instance_id("e2");
        });
    }));
}

Test(view_core, loadSummariesReachPeersOfTheSameCluster)
{
    fake_fleet fleet({ .nodes = 3, .adjust = [](view_settings &settings) {
                          settings.cluster = settings.self == instance_id("e3") ? "other" : "test";
                      } });
    std::map<int, std::string> received;
    fleet.onAction = [&](int index, const view_action &action) {
        if (const auto *loads = std::get_if<load_summaries_received>(&action)) {
            received[index] = loads->summaries.at(0);
        }
    };
    fleet.run(seconds(2));
    fleet.deliver(0, load_summaries_set{ { "load" } });
    fleet.run(seconds(3));
    cr_assert(received[1] == "load");
    cr_assert_not(received.contains(2));
    cr_assert(fleet.stateAt(0, 2) == peer_state::dead || fleet.stateAt(0, 2) == peer_state::suspect);
}

Test(view_core, loadSummariesGoToEachPeerOfTheDataCentreOnceASecondAtMost)
{
    fake_fleet fleet({ .nodes = 6, .dataCentres = 2 });
    std::map<std::pair<instance_id, int>, std::vector<time_point>> received;
    fleet.onAction = [&](int index, const view_action &action) {
        if (const auto *loads = std::get_if<load_summaries_received>(&action)) {
            received[{ loads->peer, index }].push_back(fleet.now());
        }
    };
    fleet.run(seconds(2));
    const instance_id sender = fleet.at(0).settings.self;
    fleet.deliver(0, load_summaries_set{ { "load" } });
    fleet.run(seconds(20));
    for (int index = 1; index < fleet.size(); ++index) {
        const std::vector<time_point> &times = received[{ sender, index }];
        const bool isLocal = fleet.dataCentreOf(index) == fleet.dataCentreOf(0);
        cr_assert(isLocal ? times.size() >= 8 && times.size() <= 20 : times.empty());
    }
}
