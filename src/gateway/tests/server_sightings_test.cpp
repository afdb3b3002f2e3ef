// A cut that reset connections was taken for crashes of the servers, and sound parts of prompts were held back at all instances.

#include "gateway/server_sightings.h"

#include "gateway/prompt_quarantine.h"
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

constexpr prompt_part sound = 1;
constexpr prompt_part guilty = 2;
constexpr milliseconds crashDelay{ 300 }; // From the send to the loss of the connection.

time_point at(milliseconds time)
{
    return time_point(seconds(100)) + time;
}

bool isHeldBack(const prompt_quarantine &quarantine, prompt_part part)
{
    return quarantine.quarantinedUntil({ part }).has_value();
}

void crash(prompt_quarantine &quarantine, server_start_key server, prompt_part part, milliseconds time)
{
    quarantine.recordCrash(server, { part }, at(time - crashDelay), at(time));
}

/// Connections to `count` servers are lost one after the other, each with a request that was sent after the one before.
void loseConnections(prompt_quarantine &quarantine, int count, prompt_part part)
{
    for (int number = 1; number <= count; ++number) {
        crash(quarantine, static_cast<server_start_key>(number), part, milliseconds(400 * number));
    }
}

} // namespace

Test(server_sightings, aPartIsReleasedWhenTheServersThatItSeemedToCrashAreFoundToRun)
{
    prompt_quarantine quarantine;
    loseConnections(quarantine, 3, sound);
    cr_assert(isHeldBack(quarantine, sound));
    quarantine.recordRunning(3, at(milliseconds(1'201)), at(milliseconds(1'205)));
    quarantine.expire(at(milliseconds(1'400)));
    cr_assert_not(isHeldBack(quarantine, sound));
}

Test(server_sightings, serversThatAreFoundToRunConvictNoPart)
{
    prompt_quarantine quarantine;
    for (int number = 1; number <= 20; ++number) {
        const milliseconds time(400 * number);
        crash(quarantine, static_cast<server_start_key>(number), sound, time);
        quarantine.recordRunning(static_cast<server_start_key>(number), at(time + milliseconds(1)), at(time + milliseconds(3)));
        cr_assert_not(isHeldBack(quarantine, sound));
    }
}

Test(server_sightings, aPartThatEndsServersBesideLostConnectionsIsHeldBackAtTheThirdCrash)
{
    prompt_quarantine quarantine;
    for (int number = 1; number <= 3; ++number) {
        const auto lost = static_cast<server_start_key>(10 + number);
        const milliseconds time(400 * number);
        quarantine.recordCrash(lost, { guilty, sound }, at(time - crashDelay), at(time - milliseconds(100)));
        quarantine.recordRunning(lost, at(time - milliseconds(99)), at(time - milliseconds(95)));
        crash(quarantine, static_cast<server_start_key>(number), guilty, time);
    }
    cr_assert(isHeldBack(quarantine, guilty));
    cr_assert_not(isHeldBack(quarantine, sound));
}

Test(server_sightings, aServerThatRanAfterALostConnectionAndEndsLaterCounts)
{
    prompt_quarantine quarantine;
    for (server_start_key server = 1; server <= 3; ++server) {
        crash(quarantine, server, guilty, milliseconds(400));
        quarantine.recordRunning(server, at(milliseconds(401)), at(milliseconds(403)));
    }
    for (int number = 1; number <= 3; ++number) {
        cr_assert_not(isHeldBack(quarantine, guilty));
        crash(quarantine, static_cast<server_start_key>(number), guilty, milliseconds(1'000 + 400 * number));
    }
    cr_assert(isHeldBack(quarantine, guilty));
}

Test(server_sightings, evidenceThatArrivesAfterTheSightingDoesNotCount)
{
    prompt_quarantine observer;
    loseConnections(observer, 3, sound);
    const quarantine_news old = observer.news(prompt_quarantine::newsMaxAge, at(milliseconds(1'201)));
    prompt_quarantine quarantine;
    for (server_start_key server = 1; server <= 3; ++server) {
        quarantine.merge({ {}, {}, {}, { { server, at(milliseconds(1'201)) } } }, at(milliseconds(1'202)));
    }
    quarantine.merge(old, at(milliseconds(1'300)));
    quarantine.expire(at(milliseconds(1'400)));
    cr_assert_not(isHeldBack(quarantine, sound));
}

Test(server_sightings, aSightingBeforeTheCrashRefutesNothing)
{
    prompt_quarantine quarantine;
    for (int number = 1; number <= 3; ++number) {
        const milliseconds time(400 * number);
        quarantine.recordRunning(static_cast<server_start_key>(number), at(time - milliseconds(1)), at(time - milliseconds(1)));
        crash(quarantine, static_cast<server_start_key>(number), guilty, time);
    }
    cr_assert(isHeldBack(quarantine, guilty));
}

Test(server_sightings, whatIsToldAgainIsNoNews)
{
    server_sightings sightings;
    cr_assert(sightings.recordHeard({ 1, at(milliseconds(0)) }, at(milliseconds(1))));
    cr_assert_not(sightings.recordHeard({ 1, at(milliseconds(2)) }, at(milliseconds(5))));
    cr_assert(sightings.news(milliseconds(100), at(milliseconds(200))).empty());
}

Test(server_sightings, theNumberOfSightingsIsBounded)
{
    server_sightings sightings;
    for (server_start_key server = 1; server <= 2 * server_sightings::maxSightings; ++server) {
        sightings.recordOwn(server, at(milliseconds(server)), at(milliseconds(server)));
    }
    expectEqual(sightings.news(seconds(60), at(seconds(1))).size(), server_sightings::maxSightings);
    sightings.expire(at(seconds(120)));
    cr_assert(sightings.news(seconds(120), at(seconds(120))).empty());
}

Test(server_sightings, noInstanceHoldsBackAPartForConnectionsThatOneOfThemLost)
{
    fleet_simulation fleet(66, 3, 4, { std::chrono::microseconds(900), 0.05 }, 11);
    fleet.runFor(seconds(6));
    for (unsigned number = 0; number < 3; ++number) {
        fleet.runFor(milliseconds(400));
        fleet.state(22 * number).quarantine.recordCrash(100 + number, { sound }, fleet.now() - milliseconds(200), fleet.now());
    }
    fleet.runFor(milliseconds(300));
    for (unsigned number = 0; number < 3; ++number) {
        fleet.state(22 * number).quarantine.recordRunning(100 + number, fleet.now(), fleet.now());
    }
    fleet.runFor(seconds(3));
    for (unsigned instance = 0; instance < fleet.size(); ++instance) {
        cr_assert_not(isHeldBack(fleet.state(instance).quarantine, sound), "instance %u", instance);
    }
}
