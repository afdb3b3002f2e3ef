#include "gateway/peer_registry.h"

#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr peer_address self = 1;

load_report from(peer_address address, const std::string &dataCentre, std::uint32_t sequence)
{
    load_report report;
    report.sender = instance_id("i" + std::to_string(address));
    report.dataCentre = data_centre_id(dataCentre);
    report.address = address;
    report.incarnation = 1;
    report.sequence = sequence;
    return report;
}

} // namespace

Test(peer_registry, registersInstancesThatOthersKnow)
{
    peer_registry peers(self, data_centre_id("a"));
    peers.addSeeds({ self, 2 });
    cr_assert(peers.recordReport(from(2, "a", 1), at(0)));
    peers.addInstances({ { data_centre_id("a"), { self, 3 } }, { data_centre_id("b"), { 4 } } }, at(0));
    expectEqual(peers.registered(peers.ownCell()).size(), 3U);
    expectEqual(peers.largestFleetSize(), 4U);
}

Test(peer_registry, dropsAReportThatIsOlderThanOneAlreadyReceived)
{
    peer_registry peers(self, data_centre_id("a"));
    cr_assert(peers.recordReport(from(2, "a", 5), at(0)));
    cr_assert_not(peers.recordReport(from(2, "a", 4), at(1)));
    load_report afterRestart = from(2, "a", 1);
    afterRestart.incarnation = 2;
    cr_assert(peers.recordReport(afterRestart, at(2)));
}

Test(peer_registry, keepsTheLargestFleetSizeAfterTheOthersExpire)
{
    peer_registry peers(self, data_centre_id("a"));
    peers.recordReport(from(2, "a", 1), at(0));
    peers.recordReport(from(3, "b", 1), at(0));
    peers.expire(at(100'000));
    expectEqual(peers.registered(peers.ownCell()).size(), 0U);
    expectEqual(peers.largestFleetSize(), 3U);
}

Test(peer_registry, dataCentreIsUnresponsiveOnceAllItsInstancesTimedOut)
{
    peer_registry peers(self, data_centre_id("a"));
    peers.recordReport(from(2, "a", 1), at(0));
    peers.recordReport(from(3, "b", 1), at(0));
    peers.recordReport(from(4, "b", 1), at(800));
    expectEqual(peers.unresponsiveDataCentres(at(1'700)).size(), 0U);
    expectEqual(peers.unresponsiveDataCentres(at(1'900)).count(data_centre_id("b")), 1U);
    // The own data centre never counts as unresponsive.
    expectEqual(peers.unresponsiveDataCentres(at(1'900)).count(data_centre_id("a")), 0U);
    peers.recordReport(from(3, "b", 2), at(2'000));
    expectEqual(peers.unresponsiveDataCentres(at(2'100)).size(), 0U);
}

Test(peer_registry, dataCentreIsNoLongerUnresponsiveAfterTheMaximumSuspicion)
{
    peer_registry peers(self, data_centre_id("a"));
    peers.recordReport(from(3, "b", 1), at(0));
    expectEqual(peers.unresponsiveDataCentres(at(20'000)).size(), 0U);
}

Test(peer_registry, removesAnInstanceThatLeaves)
{
    peer_registry peers(self, data_centre_id("a"));
    peers.recordReport(from(3, "b", 1), at(0));
    load_report leaving = from(3, "b", 2);
    leaving.isLeaving = true;
    peers.recordReport(leaving, at(10));
    expectEqual(peers.registered(peers.ownCell()).size(), 0U);
}

Test(peer_registry, asksASeedAgainThatHasLeft)
{
    peer_registry peers(self, data_centre_id("a"));
    peers.addSeeds({ 3 });
    expectEqual(peers.silentSeeds(at(0)).size(), 1U);
    peers.recordReport(from(3, "b", 1), at(0));
    expectEqual(peers.silentSeeds(at(10)).size(), 0U);
    load_report leaving = from(3, "b", 2);
    leaving.isLeaving = true;
    peers.recordReport(leaving, at(10));
    expectEqual(peers.silentSeeds(at(20)).size(), 1U);
    load_report afterRestart = from(3, "b", 1);
    afterRestart.incarnation = 2;
    peers.recordReport(afterRestart, at(30));
    expectEqual(peers.silentSeeds(at(40)).size(), 0U);
}

Test(peer_registry, instancesKnownFromOthersAloneDoNotStayAlive)
{
    peer_registry peers(self, data_centre_id("a"));
    const instance_list known{ { data_centre_id("a"), { 5 } } };
    peers.addInstances(known, at(0));
    const cell_id cell = peers.ownCell();
    expectEqual(peers.reportTargets(cell, at(100)).size(), 1U);
    // Otherwise instances could tell each other of a stopped one for ever.
    for (int now = 1'000; now <= 20'000; now += 1'000) {
        peers.addInstances(known, at(now));
    }
    expectEqual(peers.reportTargets(cell, at(20'000)).size(), 0U);
    cr_assert_not(peers.alive(at(100)).at(data_centre_id("a")).size() > 1);
}

Test(peer_registry, instancesListedByTheirCellAreAlive)
{
    peer_registry peers(self, data_centre_id("a"));
    peers.recordCellInstances(data_centre_id("b"), { 7, 8 }, at(0));
    cr_assert(peers.isAlive(7, at(3'000)));
    peers.recordCellInstances(data_centre_id("b"), { 8 }, at(3'000));
    cr_assert_not(peers.isAlive(7, at(5'000)));
    cr_assert(peers.isAlive(8, at(5'000)));
}
