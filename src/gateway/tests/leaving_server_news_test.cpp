#include "gateway/load_report.h"
#include "gateway/tests/fleet_simulation.h"
#include "gateway/tests/test_time.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr unsigned late = 0; // The instance that hears of each change last.

listed_server serverStartedAt(std::uint64_t startedAt)
{
    listed_server server;
    server.id = backend_server_id("i-returns");
    server.service = service_id("reading");
    server.address = { "10.9.0.1", 80 };
    server.dataCentre = data_centre_id("dc0");
    server.slots = 4;
    server.startedAt = startedAt;
    return server;
}

bool mayUse(fleet_simulation &fleet, unsigned instance)
{
    const auto *known = fleet.state(instance).servers.find(serverStartedAt(0).id);
    return known && fleet.state(instance).servers.mayTakeWork(*known, fleet.now());
}

void listAt(fleet_simulation &fleet, unsigned instance, const listed_server &server)
{
    fleet.state(instance).apply(server_listed{ server }, fleet.now(), fleet.now());
}

void listAtAllOthers(fleet_simulation &fleet, const listed_server &server)
{
    for (unsigned instance = 0; instance < fleet.size(); ++instance) {
        if (instance != late) {
            listAt(fleet, instance, server);
        }
    }
}

/// The server leaves and is listed again with the given start; one instance hears of each change 400 ms after the others.
void leaveAndReturn(fleet_simulation &fleet, std::uint64_t startedAt)
{
    listed_server server = serverStartedAt(startedAt);
    for (const bool isLeaving : { false, true, false }) {
        server.isLeaving = isLeaving;
        listAtAllOthers(fleet, server);
        fleet.runFor(milliseconds(400));
        listAt(fleet, late, server);
        fleet.runFor(milliseconds(400));
    }
}

} // namespace

Test(leaving_server_news, ofAnEarlierStartDoNotKeepAServerWithoutAStartTimeOutOfUse)
{
    fleet_simulation fleet(4, 2, 2, {}, 31);
    fleet.runFor(seconds(2));
    leaveAndReturn(fleet, 0);
    for (unsigned instance = 0; instance < fleet.size(); ++instance) {
        cr_assert(mayUse(fleet, instance), "instance %u", instance);
    }
}

Test(leaving_server_news, keepAServerOutOfUseWhoseStartIsTheSame)
{
    fleet_simulation fleet(4, 2, 2, {}, 32);
    fleet.runFor(seconds(2));
    leaveAndReturn(fleet, 77);
    for (unsigned instance = 0; instance < fleet.size(); ++instance) {
        cr_assert_not(mayUse(fleet, instance), "instance %u", instance);
    }
}

Test(leaving_server_news, reachAnInstanceThatHasListedTheServerBeforeIt)
{
    fleet_simulation fleet(4, 2, 2, {}, 33);
    fleet.runFor(seconds(2));
    listAtAllOthers(fleet, serverStartedAt(0));
    listAt(fleet, late, serverStartedAt(0));
    fleet.runFor(milliseconds(100));
    fleet.state(1).recordLeaving(keyOf(serverStartedAt(0).id), startKeyOf(serverStartedAt(0)), fleet.now());
    fleet.runFor(milliseconds(700));
    cr_assert_not(mayUse(fleet, late));
}

Test(leaving_server_news, withoutAnAgeCountOnlyForAKnownStart)
{
    server_directory directory;
    directory.put(serverStartedAt(0), at(0));
    cr_assert_not(directory.recordLeavingElsewhere(serverStartedAt(0).id, std::nullopt, at(100)));
    directory.put(serverStartedAt(5), at(200));
    cr_assert(directory.recordLeavingElsewhere(serverStartedAt(0).id, std::nullopt, at(300)));
}

Test(leaving_server_news, tellTheFirstSignToTheReceiver)
{
    load_report report;
    report.sender = instance_id("i1");
    report.address = 1;
    report.leavingServers = { { 17, at(500) }, { 18, at(900) } };
    const auto read = decodeLoadReport(encodeLoadReport(report, at(1'000)), at(3'000));
    cr_assert(read.has_value());
    expectEqual(read->leavingServers.size(), 2U);
    expectEqual(read->leavingServers[0].server, 17U);
    cr_assert(read->leavingServers[0].since == at(2'500));
    cr_assert(read->leavingServers[1].since == at(2'900));
}
