#include "gateway/tests/fleet_simulation.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds grace{ 2'000 }; // For entries that an outage of the store has lost.
constexpr unsigned returning = 1; // The instance that comes back to the store.

listed_server leavingServer()
{
    listed_server server;
    server.id = backend_server_id("i-leaves");
    server.service = service_id("reading");
    server.address = { "10.9.0.1", 80 };
    server.dataCentre = data_centre_id("dc0");
    server.slots = 4;
    server.startedAt = 77;
    return server;
}

bool mayUse(fleet_simulation &fleet, unsigned instance)
{
    const auto *known = fleet.state(instance).servers.find(leavingServer().id);
    return known && fleet.state(instance).servers.mayTakeWork(*known, fleet.now());
}

/// All know the server; it leaves while one instance cannot reach the store.
void makeServerLeave(fleet_simulation &fleet)
{
    for (unsigned instance = 0; instance < fleet.size(); ++instance) {
        fleet.state(instance).apply(server_listed{ leavingServer() }, fleet.now(), fleet.now());
    }
    for (unsigned instance = 0; instance < fleet.size(); ++instance) {
        if (instance != returning) {
            fleet.state(instance).apply(server_unlisted{ leavingServer().id }, fleet.now(), fleet.now());
        }
    }
}

} // namespace

Test(departed_server, isNotUsedByAnInstanceThatReturnsToTheStoreWhenItsNeighboursSawItGo)
{
    fleet_simulation fleet(8, 3, 2, {}, 21);
    fleet.runFor(seconds(3));
    makeServerLeave(fleet);
    fleet.runFor(milliseconds(300));
    fleet.state(returning).applySnapshot({}, fleet.now(), fleet.now() + grace);
    fleet.runFor(milliseconds(1'000));
    cr_assert_not(mayUse(fleet, returning));
}

Test(departed_server, staysInUseWhenNobodySawItGo)
{
    fleet_simulation fleet(8, 3, 2, {}, 22);
    fleet.runFor(seconds(3));
    fleet.state(returning).apply(server_listed{ leavingServer() }, fleet.now(), fleet.now());
    fleet.state(returning).applySnapshot({}, fleet.now(), fleet.now() + grace);
    fleet.runFor(milliseconds(1'000));
    cr_assert(mayUse(fleet, returning));
}

Test(departed_server, isUsedAgainOnceItIsListedAgain)
{
    fleet_simulation fleet(8, 3, 2, {}, 23);
    fleet.runFor(seconds(3));
    makeServerLeave(fleet);
    fleet.state(returning).applySnapshot({}, fleet.now(), fleet.now() + grace);
    fleet.runFor(milliseconds(1'000));
    for (unsigned instance = 0; instance < fleet.size(); ++instance) {
        fleet.state(instance).apply(server_listed{ leavingServer() }, fleet.now(), fleet.now());
    }
    fleet.runFor(seconds(2));
    for (unsigned instance = 0; instance < fleet.size(); ++instance) {
        cr_assert(mayUse(fleet, instance));
    }
}
