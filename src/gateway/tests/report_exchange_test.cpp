#include "gateway/report_exchange.h"

#include "gateway/tests/fleet_simulation.h"
#include "testing/expect.h"

#include <algorithm>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::fleet_simulation;
using mustardtrail::gateway::testing::network_conditions;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr seconds timeToKnowAll{ 5 };

size_t aliveAt(fleet_simulation &fleet, unsigned instance)
{
    size_t count = 0;
    for (const auto &[dataCentre, addresses] : fleet.state(instance).peers.alive(fleet.now())) {
        count += addresses.size();
    }
    return count;
}

server_load loadAt(fleet_simulation &fleet, unsigned instance, server_key server)
{
    for (const auto &each : fleet.state(instance).candidates(service_id("model"), {}, server_scope::fleet, fleet.now())) {
        if (each.key == server) {
            return each.load;
        }
    }
    return {};
}

// Each instance sends requests to servers of its cell, two a second whatever the fleet's size.
void playTraffic(fleet_simulation &fleet, size_t rounds)
{
    for (size_t round = 0; round < rounds; ++round) {
        for (unsigned instance = 0; instance < fleet.size(); ++instance) {
            const auto near = fleet.state(instance).candidates(service_id("model"), {}, server_scope::own_cell, fleet.now());
            fleet.addWork(instance, near[(instance + round) % near.size()].key, milliseconds(30));
        }
        fleet.runFor(milliseconds(500));
        for (unsigned instance = 0; instance < fleet.size(); ++instance) {
            fleet.finishAllWork(instance);
        }
    }
}

fleet_simulation::traffic mostSent(const fleet_simulation &fleet)
{
    fleet_simulation::traffic most;
    for (unsigned instance = 0; instance < fleet.size(); ++instance) {
        most.datagrams = std::max(most.datagrams, fleet.sentBy(instance).datagrams);
        most.bytes = std::max(most.bytes, fleet.sentBy(instance).bytes);
    }
    return most;
}

} // namespace

Test(report_exchange, everyLiveInstanceIsKnownToAllWithinFiveSeconds)
{
    fleet_simulation fleet(300, 5, 20, { std::chrono::microseconds(900), 0.02 }, 1);
    fleet.runFor(timeToKnowAll);
    for (unsigned instance = 0; instance < fleet.size(); ++instance) {
        expectEqual(aliveAt(fleet, instance), size_t(300));
    }
}

Test(report_exchange, instanceThatStartsAnewIsKnownAgain)
{
    fleet_simulation fleet(150, 3, 5, {}, 2);
    fleet.runFor(timeToKnowAll);
    fleet.freeze(40);
    fleet.runFor(seconds(8));
    expectEqual(aliveAt(fleet, 41), size_t(149));
    fleet.restart(40);
    fleet.runFor(timeToKnowAll);
    expectEqual(aliveAt(fleet, 41), size_t(150));
    expectEqual(aliveAt(fleet, 40), size_t(150));
}

Test(report_exchange, fleetFindsTogetherAfterADataCentreWasCutOff)
{
    fleet_simulation fleet(150, 3, 5, {}, 3);
    fleet.runFor(timeToKnowAll);
    fleet.setCut(1, true);
    fleet.runFor(milliseconds(1'500));
    expectEqual(fleet.state(0).peers.unresponsiveDataCentres(fleet.now()).count(data_centre_id("dc1")), 1U);
    fleet.runFor(seconds(10));
    expectEqual(aliveAt(fleet, 0), size_t(100));
    fleet.setCut(1, false);
    fleet.runFor(timeToKnowAll);
    expectEqual(aliveAt(fleet, 0), size_t(150));
    expectEqual(aliveAt(fleet, 1), size_t(150));
    expectEqual(fleet.state(0).peers.unresponsiveDataCentres(fleet.now()).size(), 0U);
}

Test(report_exchange, summariesSurviveAFrozenSpeaker)
{
    fleet_simulation fleet(150, 3, 5, {}, 4);
    fleet.runFor(timeToKnowAll);
    // More instances than the speakers of the cell for one other cell, whichever they are.
    for (unsigned instance = 0; instance < 150; instance += 30) {
        fleet.freeze(instance);
    }
    fleet.runFor(seconds(4));
    cr_assert_not(fleet.state(1).summaries.loadsOf({ data_centre_id("dc0"), 0 }, fleet.now()).empty());
}

Test(report_exchange, workAtAnotherCellIsKnownThereAtOnceAndNotCountedTwiceHere)
{
    fleet_simulation fleet(150, 3, 5, {}, 5);
    fleet.runFor(timeToKnowAll);
    const server_key remote = fleet.serverOf(1, 2);
    fleet.addWork(0, remote, milliseconds(400));
    fleet.runFor(milliseconds(3));
    expectEqual(loadAt(fleet, 1, remote).requests, 1U); // In the cell of the server.
    expectEqual(loadAt(fleet, 3, remote).requests, 1U); // In the cell of the sender.
    expectEqual(loadAt(fleet, 2, remote).requests, 0U); // Elsewhere only with the next summary.
    fleet.runFor(milliseconds(1'000));
    expectEqual(loadAt(fleet, 0, remote).requests, 1U);
    expectEqual(loadAt(fleet, 3, remote).requests, 1U);
    expectEqual(loadAt(fleet, 2, remote).requests, 1U);
    fleet.finishAllWork(0);
    fleet.runFor(milliseconds(1'500));
    for (unsigned instance = 0; instance < 4; ++instance) {
        expectEqual(loadAt(fleet, instance, remote).requests, 0U);
    }
}

Test(report_exchange, whatAnInstanceSendsDoesNotGrowWithTheFleet)
{
    std::vector<fleet_simulation::traffic> most;
    for (const unsigned size : { 300U, 1'000U }) {
        fleet_simulation fleet(size, 5, 20, {}, 6);
        fleet.runFor(timeToKnowAll);
        fleet.resetTraffic();
        playTraffic(fleet, 2);
        most.push_back(mostSent(fleet));
    }
    // Cells differ in size by a few instances, and the larger fleet has more cells to tell.
    cr_assert_lt(static_cast<double>(most[1].datagrams), 1.6 * static_cast<double>(most[0].datagrams));
    cr_assert_lt(static_cast<double>(most[1].bytes), 1.6 * static_cast<double>(most[0].bytes));
}

Test(report_exchange, stopAnnouncedToTheCellIsKnownAtOnce)
{
    fleet_simulation fleet(12, 3, 5, {}, 7);
    fleet.runFor(timeToKnowAll);
    fleet_state &state = fleet.state(0);
    report_exchange leaving(state, { instance_id("i0"), data_centre_id("dc0"), fleet_simulation::addressOf(0), 999 }, fleet.now());
    const auto reports = leaving.reportLeaving(fleet.now());
    expectEqual(reports.size(), 1U);
    expectEqual(reports.front().targets.size(), 11U);
    cr_assert(reports.front().report.isLeaving);
}
