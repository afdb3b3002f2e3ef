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

constexpr prompt_part guilty = 7;
constexpr milliseconds contactTime{ 3'000 }; // Of the users' rules: the time in which instances hear of each other.

/// The instance sees a server end 200 ms after a request with the part was sent there.
void crash(fleet_simulation &fleet, unsigned instance, server_start_key server)
{
    fleet.runFor(milliseconds(400));
    fleet.state(instance).quarantine.recordCrash(server, { guilty }, fleet.now() - milliseconds(200), fleet.now());
}

unsigned holdingBack(fleet_simulation &fleet)
{
    unsigned count = 0;
    for (unsigned instance = 0; instance < fleet.size(); ++instance) {
        count += fleet.state(instance).quarantine.quarantinedUntil({ guilty }) ? 1 : 0;
    }
    return count;
}

unsigned mayTry(fleet_simulation &fleet)
{
    unsigned count = 0;
    for (unsigned instance = 0; instance < fleet.size(); ++instance) {
        count += fleet.state(instance).quarantinedUntil({ guilty }, fleet.now()) ? 0 : 1;
    }
    return count;
}

void expectThatAllHoldThePartBack(unsigned instances, double lossShare)
{
    fleet_simulation fleet(instances, 3, 4, { std::chrono::microseconds(900), lossShare }, 11);
    fleet.runFor(seconds(6));
    for (unsigned number = 0; number < 3; ++number) {
        crash(fleet, number * (instances / 3), 100 + number);
    }
    fleet.runFor(contactTime);
    expectEqual(holdingBack(fleet), instances);
}

} // namespace

Test(quarantine_spread, allInstancesHoldAPartBackOfWhichEachCellSawOneCrash)
{
    expectThatAllHoldThePartBack(8, 0.0);
    expectThatAllHoldThePartBack(66, 0.05);
    expectThatAllHoldThePartBack(295, 0.05);
}

Test(quarantine_spread, oneInstanceOfTheFleetTriesThePartAgain)
{
    fleet_simulation fleet(66, 3, 4, {}, 12);
    fleet.runFor(seconds(6));
    for (unsigned number = 0; number < 3; ++number) {
        crash(fleet, number * 22, 100 + number);
    }
    fleet.runFor(seconds(3));
    expectEqual(mayTry(fleet), 0U);
    fleet.runFor(prompt_quarantine::firstTrialDelay);
    expectEqual(mayTry(fleet), 1U);
}

Test(quarantine_spread, oneInstanceTriesThePartAgainWhateverStandsBeforeIt)
{
    fleet_simulation fleet(66, 3, 4, {}, 15);
    fleet.runFor(seconds(6));
    for (unsigned number = 0; number < 3; ++number) {
        crash(fleet, number * 22, 100 + number);
    }
    fleet.runFor(seconds(3) + prompt_quarantine::firstTrialDelay);
    unsigned count = 0;
    for (unsigned instance = 0; instance < fleet.size(); ++instance) {
        bool mayTryIt = false;
        for (prompt_part before = 100; before < 120; ++before) {
            mayTryIt = mayTryIt || !fleet.state(instance).quarantinedUntil({ before, guilty }, fleet.now());
        }
        count += mayTryIt ? 1 : 0;
    }
    expectEqual(count, 1U);
}

Test(quarantine_spread, aRestartedInstanceHearsOfThePart)
{
    fleet_simulation fleet(8, 3, 4, {}, 13);
    fleet.runFor(seconds(3));
    for (unsigned number = 0; number < 3; ++number) {
        crash(fleet, number, 100 + number);
    }
    fleet.runFor(seconds(5));
    fleet.restart(5);
    fleet.runFor(contactTime);
    expectEqual(holdingBack(fleet), 8U);
}

Test(quarantine_spread, halvesOfAFleetThatMeetAgainKnowTheSameParts)
{
    fleet_simulation fleet(9, 3, 4, {}, 14);
    fleet.runFor(seconds(3));
    fleet.setCut(0, true);
    for (unsigned number = 0; number < 3; ++number) {
        crash(fleet, 1, 100 + number);
    }
    fleet.runFor(contactTime);
    expectEqual(holdingBack(fleet), 6U);
    fleet.setCut(0, false);
    fleet.runFor(contactTime);
    expectEqual(holdingBack(fleet), 9U);
}
