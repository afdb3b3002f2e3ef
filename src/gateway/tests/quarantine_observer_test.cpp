// What an instance saw whose own paths were cut convicted sound parts of prompts.

#include "gateway/tests/fleet_simulation.h"
#include "gateway/tests/test_time.h"

#include "testing/expect.h"

#include <algorithm>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr prompt_part popular = 2;
constexpr prompt_part guilty = 7;
constexpr unsigned instances = 8;
constexpr milliseconds betweenCrashes{ 40 };

/// The instance loses its connections to four servers at once, which carry requests with different parts.
void loseServersAtOnce(fleet_simulation &fleet, unsigned instance)
{
    for (server_start_key server = 100; server < 104; ++server) {
        fleet.state(instance).quarantine.recordCrash(server, { 1'000 + server }, fleet.now() - milliseconds(200), fleet.now());
    }
}

/// Three connections are lost one after the other, each of a request with the part that was sent after the loss before.
void loseOneAfterTheOther(fleet_simulation &fleet, unsigned instance, prompt_part part)
{
    for (server_start_key server = 200; server < 203; ++server) {
        fleet.runFor(betweenCrashes);
        fleet.state(instance).quarantine.recordCrash(server, { part }, fleet.now() - betweenCrashes / 4, fleet.now());
    }
}

load_report reportOfAnother()
{
    load_report report;
    report.sender = instance_id("two");
    report.address = 2;
    report.sequence = 1;
    return report;
}

unsigned holdingBack(fleet_simulation &fleet, prompt_part part)
{
    unsigned count = 0;
    for (unsigned instance = 0; instance < fleet.size(); ++instance) {
        count += fleet.state(instance).quarantine.quarantinedUntil({ part }) ? 1 : 0;
    }
    return count;
}

} // namespace

Test(quarantine_observer, anInstanceThatLostSeveralServersAtOnceConvictsNoPart)
{
    fleet_simulation fleet(instances, 3, 4, {}, 21);
    fleet.runFor(seconds(3));
    loseServersAtOnce(fleet, 0);
    loseOneAfterTheOther(fleet, 0, popular);
    expectEqual(holdingBack(fleet, popular), 0U);
    fleet.runFor(seconds(3));
    expectEqual(holdingBack(fleet, popular), 0U);
}

Test(quarantine_observer, aPartThatEndsServersOneAfterTheOtherIsConvictedHoweverFast)
{
    fleet_simulation fleet(instances, 3, 4, {}, 22);
    fleet.runFor(seconds(3));
    loseOneAfterTheOther(fleet, 0, guilty);
    expectEqual(fleet.state(0).quarantine.quarantinedUntil({ guilty }).has_value(), true);
    fleet.runFor(seconds(1));
    expectEqual(holdingBack(fleet, guilty), instances);
}

Test(quarantine_observer, aPartIsConvictedBesideACutWhenAnotherInstanceLostTheSameServers)
{
    fleet_simulation fleet(instances, 3, 4, {}, 23);
    fleet.runFor(seconds(3));
    loseServersAtOnce(fleet, 0);
    for (server_start_key server = 200; server < 203; ++server) {
        fleet.runFor(milliseconds(150));
        const time_point sentAt = fleet.now() - milliseconds(100);
        fleet.state(0).quarantine.recordCrash(server, { guilty }, sentAt, fleet.now());
        fleet.state(4).quarantine.recordCrash(server, { 50 + server }, sentAt, fleet.now());
    }
    fleet.runFor(seconds(1));
    expectEqual(holdingBack(fleet, guilty), instances);
}

Test(quarantine_observer, aPartIsConvictedBesideACutOnceItsServersAreKnownToHaveEnded)
{
    fleet_simulation fleet(instances, 3, 4, {}, 24);
    fleet.runFor(seconds(3));
    loseServersAtOnce(fleet, 0);
    loseOneAfterTheOther(fleet, 0, guilty);
    expectEqual(holdingBack(fleet, guilty), 0U);
    for (server_start_key server = 200; server < 203; ++server) {
        fleet.state(0).quarantine.recordEnded(server, fleet.now());
    }
    expectEqual(fleet.state(0).quarantine.quarantinedUntil({ guilty }).has_value(), true);
    fleet.runFor(seconds(1));
    expectEqual(holdingBack(fleet, guilty), instances);
}

Test(quarantine_observer, anInstanceThatHasJustLostSeveralServersIsNoGoodRelay)
{
    fleet_simulation fleet(instances, 3, 4, {}, 25);
    fleet.runFor(seconds(3));
    loseServersAtOnce(fleet, 0);
    fleet.report(0);
    fleet.runFor(milliseconds(10));
    const auto lostPaths = [&fleet] {
        const auto candidates = fleet.state(3).relayCandidates(fleet.now());
        return std::count_if(candidates.begin(), candidates.end(), [](const relay_candidate &each) {
            return each.hasLostPaths;
        });
    };
    expectEqual(lostPaths(), 1);
    fleet.runFor(observer_losses::aftermath + seconds(1));
    expectEqual(lostPaths(), 0);
}

Test(quarantine_observer, evidenceFromAnInstanceOfAnEarlierReleaseCounts)
{
    prompt_quarantine quarantine({}, 1);
    for (int number = 1; number <= 3; ++number) {
        load_report report = reportOfAnother();
        report.quarantine.crashes.push_back(
            { static_cast<server_start_key>(number), at(400 * number), { { guilty, at(400 * number - 300) } } });
        const auto bytes = encodeLoadReport(report, at(400 * number));
        quarantine.merge(decodeLoadReport(bytes, at(400 * number))->quarantine, at(400 * number));
    }
    cr_assert(quarantine.quarantinedUntil({ guilty }).has_value());
}

Test(quarantine_observer, observersAndTheirLossesAreToldAsTheyAre)
{
    load_report report = reportOfAnother();
    report.quarantine.crashes.push_back({ 1, at(400), { { guilty, at(100) } }, {}, {}, { 5, 6 } });
    report.quarantine.losses.push_back({ 5, at(390), at(1'400) });
    const auto read = decodeLoadReport(encodeLoadReport(report, at(500)), at(500));
    cr_assert(read.has_value());
    cr_assert(read->quarantine.crashes.front().observers == std::set<peer_address>({ 5, 6 }));
    const observer_loss &loss = read->quarantine.losses.front();
    expectEqual(loss.observer, 5U);
    cr_assert(loss.from == at(390) && loss.until == at(1'400));
}

Test(quarantine_observer, aMomentOfLossIsNotToldForEver)
{
    observer_losses here(1);
    observer_losses there(2);
    for (server_start_key server = 1; server <= 3; ++server) {
        here.recordOwn(server, at(100), at(400));
    }
    bool isNews = true;
    int hops = 0;
    for (int now = 420; isNews; now += 20) {
        isNews = false;
        for (const observer_loss &each : here.news(milliseconds(100), at(now))) {
            isNews = there.recordHeard({ each.observer, each.from + milliseconds(20), each.until + milliseconds(20) }, at(now)) || isNews;
        }
        ++hops;
    }
    expectEqual(hops, 2);
    cr_assert(there.isDoubtful(1, at(900)));
    cr_assert_not(there.isDoubtful(1, at(1'600)));
    cr_assert_not(there.isDoubtful(2, at(900)));
}
