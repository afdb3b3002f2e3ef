#include "base/json_access.h"
#include "proof/fleet/background_load.h"
#include "proof/fleet/eventually.h"
#include "proof/fleet/expected_answer.h"
#include "proof/tests/test_fleet.h"

#include "testing/expect.h"

#include <csignal>

using namespace mustardtrail;
using namespace mustardtrail::proof;
using mustardtrail::testing::expectEqual;

namespace
{

} // namespace

Test(instance_faults, aPlannedStopOfEachInstanceInTurnCutsOffNoRequest)
{
    const auto fleet = startedFleet();
    background_load load(*fleet, { 0, 1, 2 }, 6, 30);
    cr_assert(eventually([&] {
        return load.finished() > 20;
    }));
    for (size_t stopped = 0; stopped < 3; ++stopped) {
        fleet_instance &instance = fleet->instances[stopped];
        instance.viewProcess->signal(SIGTERM);
        instance.entryProcess->signal(SIGTERM);
        load.useInstances({ (stopped + 1) % 3, (stopped + 2) % 3 });
        expectEqual(instance.entryProcess->wait(30), 0);
        expectEqual(instance.viewProcess->wait(30), 0);
        fleet->startInstance(instance);
        cr_assert(fleet->waitReady(instance, 20));
        load.useInstances({ 0, 1, 2 });
    }
    load.stop();
    expectNoFaults(load);
}

Test(instance_faults, othersServeOnWhenAnOwnerIsKilled)
{
    const auto fleet = startedFleet();
    cr_assert(serves(*fleet, 1));
    fleet->instances[0].entryProcess->kill();
    fleet->instances[0].viewProcess->kill();
    cr_assert(eventually([&] {
        return serves(*fleet, 1) && serves(*fleet, 2);
    }));
}

Test(instance_faults, anEntryServesOnWhileItsViewIsGoneOrAsleep)
{
    const auto fleet = startedFleet();
    cr_assert(serves(*fleet, 0));
    fleet_instance &instance = fleet->instances[0];
    instance.viewProcess->signal(SIGSTOP);
    const auto borrowsAndServes = [&] {
        return json_access::textOr(getJson(instance.admin, "/dump"), "view_lender") != "" && serves(*fleet, 0);
    };
    cr_assert(eventually(borrowsAndServes));
    instance.viewProcess->signal(SIGCONT);
    const auto servesByItself = [&] {
        return json_access::textOr(getJson(instance.admin, "/dump"), "view_lender", "?") == "" && serves(*fleet, 0);
    };
    cr_assert(eventually(servesByItself));
    instance.viewProcess->kill();
    cr_assert(eventually(borrowsAndServes));
    background_load load(*fleet, { 0 }, 4, 20);
    cr_assert(eventually([&] {
        return load.finished() > 100;
    }));
    load.stop();
    expectNoFaults(load);
}

Test(instance_faults, anInstanceThatSleptServesAgainAndOverloadsNoColdEngine)
{
    fleet_options options;
    options.warmAfter = 1'000'000;
    const auto fleet = startedFleet(options);
    background_load load(*fleet, { 1, 2 }, 6, 20);
    for (managed_process *process : { fleet->instances[0].entryProcess.get(), fleet->instances[0].viewProcess.get() }) {
        process->signal(SIGSTOP);
    }
    const int before = load.finished();
    cr_assert(eventually(
        [&] {
            return load.finished() > before + 20;
        },
        std::chrono::seconds(60)));
    for (managed_process *process : { fleet->instances[0].viewProcess.get(), fleet->instances[0].entryProcess.get() }) {
        process->signal(SIGCONT);
    }
    cr_assert(eventually([&] {
        return serves(*fleet, 0);
    }));
    load.stop();
    for (const fleet_backend &engine : fleet->engines) {
        expectEqual(counterOf(engine.control, "fallen_over"), 0);
    }
}

Test(instance_faults, aDrainedDataCentreGetsNoNewWorkAndItsCallersAreServed)
{
    const auto fleet = startedFleet();
    fleet->publishDataCentres({ { "dc1", false }, { "dc2", true }, { "dc3", true } });
    cr_assert(eventually([&] {
        return newestIsInForce(*fleet);
    }));
    const std::int64_t last = requestsIn(*fleet, "dc1");
    for (int round = 0; round < 10; ++round) {
        cr_assert(serves(*fleet, 0) && serves(*fleet, 1) && serves(*fleet, 2));
    }
    expectEqual(requestsIn(*fleet, "dc1"), last);
    fleet->publishDataCentres({ { "dc1", true }, { "dc2", true }, { "dc3", true } });
    cr_assert(eventually([&] {
        return serves(*fleet, 0) && requestsIn(*fleet, "dc1") > last;
    }));
}

Test(instance_faults, serviceGoesOnAndTheRevisionStaysWhileTheConfigurationServiceFails)
{
    const auto fleet = startedFleet();
    for (const char *mode : { "down", "garbage", "half", "older", "slow", "stale" }) {
        control(fleet->platformControl, std::string(R"({"config_mode":")") + mode + "\"}");
        for (size_t instance = 0; instance < 3; ++instance) {
            cr_assert(serves(*fleet, instance), "%s", mode);
        }
    }
    control(fleet->platformControl, R"({"live_mode":"down"})");
    cr_assert(serves(*fleet, 0));
    control(fleet->platformControl, R"({"config_mode":"up","live_mode":"up"})");
    cr_assert(serves(*fleet, 0));
}

Test(instance_faults, aChangedTargetIsInForceEverywhere)
{
    const auto fleet = startedFleet();
    fleet->publish("customers", R"([{"id":"band"}])");
    cr_assert(eventually([&] {
        for (size_t instance = 0; instance < 3; ++instance) {
            if (fleet->complete(fleet->instances[instance], "lookup", shortPrompt, 2).status != 400) {
                return false;
            }
        }
        return true;
    }));
}

Test(instance_faults, theRequestPathServesOnWhileItsViewIsRestarted)
{
    const auto fleet = startedFleet();
    fleet->instances[0].viewProcess->kill();
    cr_assert(eventually([&] {
        return serves(*fleet, 0);
    }));
}
