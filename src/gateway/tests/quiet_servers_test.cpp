#include "gateway/fleet_state.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

const service_id reading("reading");
constexpr std::uint64_t firstStart = 5;
constexpr std::uint64_t secondStart = 9;

listed_server serverNamed(const std::string &name, unsigned short port, std::uint64_t startedAt)
{
    listed_server server;
    server.id = backend_server_id(name);
    server.service = reading;
    server.address = { "10.0.0.1", port };
    server.dataCentre = data_centre_id("a");
    server.startedAt = startedAt;
    return server;
}

fleet_state stateWithTwoServers()
{
    fleet_state state(1, data_centre_id("a"), fleet_limits(), [](std::string_view, std::string_view, std::string_view) {});
    state.apply(server_listed{ serverNamed("one", 81, firstStart) }, at(0), at(0));
    state.apply(server_listed{ serverNamed("two", 82, firstStart) }, at(0), at(0));
    return state;
}

void askForQuiet(fleet_state &state, const std::string &name, milliseconds duration, time_point now)
{
    state.recordQuiet(keyOf(backend_server_id(name)), startKeyOf(serverNamed(name, 0, firstStart)), duration, now);
}

void announceLeaving(fleet_state &state, const std::string &name, time_point now)
{
    state.recordLeaving(keyOf(backend_server_id(name)), startKeyOf(serverNamed(name, 0, firstStart)), now);
}

size_t countAt(const fleet_state &state, int now)
{
    return state.candidates(reading, {}, server_scope::fleet, at(now)).size();
}

} // namespace

Test(quiet_servers, serverThatAskedForQuietIsLeftAloneUntilItsEnd)
{
    fleet_state state = stateWithTwoServers();
    askForQuiet(state, "one", milliseconds(2'000), at(100));
    expectEqual(countAt(state, 150), 1U);
    expectEqual(countAt(state, 2'099), 1U);
    expectEqual(countAt(state, 2'100), 2U);
}

Test(quiet_servers, laterEndReplacesAnEarlierOneButNotTheOtherWayRound)
{
    fleet_state state = stateWithTwoServers();
    askForQuiet(state, "one", milliseconds(3'000), at(0));
    askForQuiet(state, "one", milliseconds(500), at(1'000));
    expectEqual(countAt(state, 2'900), 1U);
}

Test(quiet_servers, firstEndIsKnownWhenAllAskedForQuiet)
{
    fleet_state state = stateWithTwoServers();
    askForQuiet(state, "one", milliseconds(2'000), at(0));
    cr_assert_not(state.quietUntil(reading, at(10)).has_value());
    askForQuiet(state, "two", milliseconds(900), at(0));
    expectEqual(countAt(state, 10), 0U);
    cr_assert(state.quietUntil(reading, at(10)) == at(900));
}

Test(quiet_servers, serverThatAnnouncedItsLeavingGetsNothingWhileAnotherCanServe)
{
    fleet_state state = stateWithTwoServers();
    announceLeaving(state, "one", at(100));
    expectEqual(countAt(state, 100), 1U);
    // The store's entry, written before, does not undo it.
    state.apply(server_listed{ serverNamed("one", 81, firstStart) }, at(200), at(200));
    expectEqual(countAt(state, 200), 1U);
    // A new start under the same id does.
    state.apply(server_listed{ serverNamed("one", 81, secondStart) }, at(300), at(300));
    expectEqual(countAt(state, 300), 2U);
}

Test(quiet_servers, lastServerThatAnnouncedItsLeavingServesForHalfASecond)
{
    fleet_state state = stateWithTwoServers();
    announceLeaving(state, "one", at(0));
    announceLeaving(state, "two", at(100));
    expectEqual(countAt(state, 100), 2U);
    expectEqual(countAt(state, 550), 1U);
    expectEqual(countAt(state, 600), 0U);
}

Test(quiet_servers, leavingIsToldToTheOthersForAFewSeconds)
{
    fleet_state state = stateWithTwoServers();
    announceLeaving(state, "one", at(0));
    expectEqual(state.leavingServers(at(100)).size(), 1U);
    expectEqual(state.leavingServers(at(3'100)).size(), 0U);
}

Test(quiet_servers, leavingOfAnEarlierStartSaysNothingOfALaterOne)
{
    fleet_state state = stateWithTwoServers();
    announceLeaving(state, "one", at(0));
    const auto told = state.leavingServers(at(10));
    fleet_state other = stateWithTwoServers();
    other.recordLeavingServers(told, instance_id("other"), at(20));
    expectEqual(countAt(other, 20), 1U);
    other.apply(server_listed{ serverNamed("one", 81, secondStart) }, at(30), at(30));
    other.recordLeavingServers(told, instance_id("other"), at(40));
    expectEqual(countAt(other, 40), 2U);
}

Test(quiet_servers, quietOfAnEarlierStartDoesNotHoldBackALaterOne)
{
    fleet_state state = stateWithTwoServers();
    askForQuiet(state, "one", milliseconds(60'000), at(0));
    askForQuiet(state, "two", milliseconds(60'000), at(0));
    expectEqual(countAt(state, 10), 0U);
    state.apply(server_listed{ serverNamed("one", 81, secondStart) }, at(20), at(20));
    expectEqual(countAt(state, 30), 1U);
    cr_assert_not(state.quietUntil(reading, at(30)).has_value());
}

Test(quiet_servers, answerOfAnEarlierStartSaysNothingOfALaterOne)
{
    fleet_state state = stateWithTwoServers();
    state.apply(server_listed{ serverNamed("one", 81, secondStart) }, at(10), at(10));
    announceLeaving(state, "one", at(20));
    askForQuiet(state, "one", milliseconds(2'000), at(20));
    expectEqual(countAt(state, 30), 2U);
    expectEqual(state.leavingServers(at(30)).size(), 0U);
}
