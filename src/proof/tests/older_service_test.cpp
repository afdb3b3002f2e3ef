#include "proof/fleet/eventually.h"
#include "proof/tests/test_fleet.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::proof;

namespace
{

constexpr int readySeconds = 20;

void restart(process_fleet &fleet, fleet_instance &instance)
{
    instance.entryProcess->kill();
    instance.viewProcess->kill();
    fleet.startInstance(instance);
}

} // namespace

Test(older_service, aRestartedInstanceTakesTheNewerConfigurationOfItsPeers)
{
    const auto fleet = startedFleet();
    fleet->publish("customers", R"([{"id":"band"}])");
    cr_assert(eventually([&] {
        return newestIsInForce(*fleet);
    }));
    for (const char *mode : { "older", "garbage", "half", "down" }) {
        control(fleet->platformControl, std::string(R"({"config_mode":")") + mode + "\"}");
        restart(*fleet, fleet->instances[2]);
        cr_assert(fleet->waitReady(fleet->instances[2], readySeconds), "%s", mode);
        cr_assert(newestIsInForce(*fleet), "%s", mode);
    }
}
