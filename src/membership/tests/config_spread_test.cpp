#include "tests/fleet_checks.h"

#include "testing/expect.h"

#include "testing/criterion.h"

#include <numeric>

using namespace mustardtrail;
using namespace mustardtrail::membership;
using std::chrono::seconds;

namespace
{

std::int64_t readsOf(const fake_fleet &fleet)
{
    const auto &reads = fleet.platform.configReads;
    return std::accumulate(reads.begin(), reads.end(), std::int64_t(0), [](std::int64_t sum, const auto &entry) {
        return sum + entry.second;
    });
}

} // namespace

Test(config_spread, fewNodesReadAndTheOthersLearnFromPeers)
{
    fake_fleet fleet({ .nodes = 30, .dataCentres = 3 });
    fleet.run(seconds(10));
    fleet.platform.configReads.clear();
    fleet.publish("data_centres", dataCentresValue(3, { 0 }));
    fleet.run(seconds(60));
    cr_assert(allAtRevision(fleet));
    cr_assert(fleet.platform.configReads.size() <= 6, "%zu", fleet.platform.configReads.size());
    cr_assert(readsOf(fleet) < 60 * 6);
}

Test(config_spread, reachesNodesWhoseDataCentreCannotReadTheService)
{
    fake_fleet fleet({ .nodes = 9, .dataCentres = 3 });
    fleet.run(seconds(5));
    fleet.platformIsCut = [&](int node) {
        return fleet.dataCentreOf(node) != 2;
    };
    fleet.publish("data_centres", dataCentresValue(3, { 0 }));
    cr_assert(fleet.runUntil(
        [&] {
            return allAtRevision(fleet);
        },
        seconds(3)));
}

Test(config_spread, otherNodesStepInWhenAllChosenReadersAreCutOff)
{
    fake_fleet fleet({ .nodes = 9 });
    fleet.run(seconds(5));
    std::vector<std::string> readers;
    for (const auto &[id, count] : fleet.platform.configReads) {
        readers.push_back(id);
    }
    fleet.platformIsCut = [&](int node) {
        return std::find(readers.begin(), readers.end(), instanceName(node)) != readers.end();
    };
    fleet.run(seconds(1));
    fleet.publish("data_centres", dataCentresValue(1, { 0 }));
    cr_assert(fleet.runUntil(
        [&] {
            return allAtRevision(fleet);
        },
        seconds(10)));
}

Test(config_spread, brokenServiceLeavesTheLastGoodConfigurationInForce)
{
    using mode = fake_platform::mode;
    fake_fleet fleet({ .nodes = 3 });
    fleet.run(seconds(5));
    const std::int64_t good = fleet.platform.revision();
    fleet.publish("data_centres", dataCentresValue(1, { 0 }));
    for (const mode broken : { mode::down, mode::garbage, mode::older, mode::stale }) {
        fleet.platform.configMode = broken;
        fleet.run(seconds(20));
        cr_assert(everyone(fleet, [&](int index) {
            return fleet.isConfirmed(index) && fleet.view(index)->config->revision >= good;
        }));
    }
    fleet.platform.configMode = mode::up;
    cr_assert(fleet.runUntil(
        [&] {
            return allAtRevision(fleet);
        },
        seconds(20)));
}

Test(config_spread, aNewNodeLearnsFromPeersWhateverTheServiceAnswers)
{
    using mode = fake_platform::mode;
    for (const mode broken : { mode::down, mode::garbage, mode::older }) {
        fake_fleet fleet({ .nodes = 3, .dataCentres = 3 });
        fleet.run(seconds(5));
        fleet.platform.configMode = broken;
        fleet.restart(2);
        cr_assert(fleet.runUntil(
            [&] {
                return fleet.isConfirmed(2) && allAtRevision(fleet);
            },
            seconds(10)));
    }
}

Test(config_spread, restartWaveAsksPeersFirst)
{
    fake_fleet fleet({ .nodes = 30, .dataCentres = 3 });
    fleet.run(seconds(10));
    fleet.platform.configReads.clear();
    for (int index = 10; index < fleet.size(); ++index) {
        fleet.restart(index);
    }
    cr_assert(fleet.runUntil(
        [&] {
            return allAtRevision(fleet) && everyone(fleet, [&](int index) {
                return fleet.isConfirmed(index);
            });
        },
        seconds(10)));
    cr_assert(readsOf(fleet) <= 30, "%ld", static_cast<long>(readsOf(fleet)));
}

Test(config_spread, invalidConfigurationIsRefusedEverywhere)
{
    fake_fleet fleet({ .nodes = 3 });
    fleet.run(seconds(5));
    const std::int64_t good = fleet.platform.revision();
    fleet.publish("classes", R"([{"id":"lookup"}])");
    fleet.run(seconds(10));
    cr_assert(everyone(fleet, [&](int index) {
        return fleet.isConfirmed(index) && fleet.view(index)->config->revision == good;
    }));
    fleet.publish("classes", R"([{"id":"lookup","first_token_target":"400ms","total_target":"5s","repeatable":true}])");
    cr_assert(fleet.runUntil(
        [&] {
            return allAtRevision(fleet);
        },
        seconds(20)));
}
