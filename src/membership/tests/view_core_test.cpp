#include "tests/fake_fleet.h"

#include "testing/expect.h"

#include "testing/criterion.h"

using namespace mustardtrail;
using namespace mustardtrail::membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

bool everyone(fake_fleet &fleet, const std::function<bool(int)> &condition)
{
    for (int index = 0; index < fleet.size(); ++index) {
        if (fleet.isUp(index) && (fleet.view(index) == nullptr || !condition(index))) {
            return false;
        }
    }
    return true;
}

bool allSee(fake_fleet &fleet, int subject, peer_state state)
{
    return everyone(fleet, [&](int index) {
        return index == subject || fleet.stateAt(index, subject) == state;
    });
}

bool allAtRevision(fake_fleet &fleet)
{
    return everyone(fleet, [&](int index) {
        return fleet.view(index)->config->revision == fleet.platform.revision();
    });
}

bool acceptsWork(fake_fleet &fleet, int index, const char *server)
{
    return fleet.view(index)->backends.at(backend_server_id(server)).acceptsNewWork;
}

} // namespace

Test(view_core, startsConfirmedAndAgreesOnOwners)
{
    fake_fleet fleet({ .nodes = 9, .dataCentres = 3 });
    fleet.run(seconds(5));
    cr_assert(everyone(fleet, [&](int index) {
        return fleet.isConfirmed(index) && !fleet.view(index)->isolated && fleet.view(index)->peers.size() == 8;
    }));
    for (const auto &[id, assignment] : fleet.view(0)->backends) {
        cr_assert(assignment.acceptsNewWork);
        cr_assert(everyone(fleet, [&](int index) {
            return fleet.view(index)->backends.at(id).owner == assignment.owner;
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
