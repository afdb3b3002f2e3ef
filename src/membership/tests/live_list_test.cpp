#include "tests/fleet_checks.h"

#include "membership/live_list.h"

#include "testing/expect.h"

#include "testing/criterion.h"

using namespace mustardtrail;
using namespace mustardtrail::membership;
using std::chrono::seconds;

Test(live_list, badListsNeverEmptyTheFleet)
{
    using mode = fake_platform::mode;
    fake_fleet fleet({ .nodes = 9, .dataCentres = 3 });
    fleet.run(seconds(5));
    for (const mode broken : { mode::empty, mode::garbage, mode::older, mode::down }) {
        fleet.platform.listMode = broken;
        fleet.run(seconds(40));
        cr_assert(everyone(fleet, [&](int index) {
            return fleet.isConfirmed(index) && fleet.view(index)->peers.size() == 8 && acceptsWork(fleet, index, "g1-1");
        }));
    }
}

Test(live_list, aNodeThatAnswersIsTakenInBeforeItIsListed)
{
    fake_fleet fleet({ .nodes = 4 });
    fleet.kill(3);
    fleet.platform.entries.erase("e4");
    fleet.run(seconds(5));
    cr_assert(everyone(fleet, [&](int index) {
        return fleet.view(index)->peers.size() == 2;
    }));
    fleet.restart(3);
    cr_assert(fleet.runUntil(
        [&] {
            return allSee(fleet, 3, peer_state::alive);
        },
        seconds(3)));
}

Test(live_list, outcomesTellWhyAListWasNotTaken)
{
    live_list list;
    const std::string entry = R"({"id":"g1","kind":"backend","data_centre":"dc1","state":"live","incarnation":2})";
    const std::string older = R"({"id":"g1","kind":"backend","data_centre":"dc1","state":"live","incarnation":1})";
    const auto take = [&list](const std::string &entries) {
        return toString(list.take(joined({ R"({"entries":[)", entries, "]}" }), time_point(seconds(1))));
    };
    testing::expectEqual(take(entry), "accepted");
    testing::expectEqual(take(""), "empty");
    testing::expectEqual(take(older), "older");
    testing::expectEqual(take("7"), "invalid");
    testing::expectEqual(toString(list.take(tl::unexpected(error{}), time_point(seconds(2)))), "unavailable");
    testing::expectEqual(list.entries().size(), 1U);
    testing::expectEqual(list.age(time_point(seconds(5)))->count(), 4000);
}

Test(live_list, aListThatLostMoreThanHalfIsTakenOnlyAfterSeveralReadings)
{
    live_list list;
    const auto entries = [](int count) {
        std::string text;
        for (int index = 0; index < count; ++index) {
            text += joined({ index == 0 ? "" : ",",
                R"({"id":")",
                instanceName(index),
                R"(","kind":"backend","data_centre":"dc1","state":"live","incarnation":1})" });
        }
        return joined({ R"({"entries":[)", text, "]}" });
    };
    cr_assert(list.take(entries(9), {}) == live_list_outcome::accepted);
    for (int reading = 1; reading < live_list::shrunkReadings; ++reading) {
        cr_assert(list.take(entries(4), {}) == live_list_outcome::shrunk);
    }
    cr_assert(list.take(entries(4), {}) == live_list_outcome::accepted);
}
Test(live_list, theSameTextIsReadOnceAndKeepsTheListYoung)
{
    live_list list;
    const auto listWith = [](const std::string &state) {
        return joined({ R"({"entries":[{"id":"g1","kind":"backend","data_centre":"dc1","state":")", state, R"("}]})" });
    };
    testing::expectEqual(toString(list.take(listWith("live"), time_point(seconds(1)))), "accepted");
    const std::uint64_t version = list.version();
    testing::expectEqual(toString(list.take(std::string("garbage"), time_point(seconds(2)))), "invalid");
    testing::expectEqual(toString(list.take(listWith("live"), time_point(seconds(3)))), "accepted");
    testing::expectEqual(list.version(), version);
    testing::expectEqual(list.age(time_point(seconds(4)))->count(), 1000);
    testing::expectEqual(toString(list.take(listWith("leaving"), time_point(seconds(4)))), "accepted");
    cr_assert(list.version() > version);
    cr_assert(list.entries().front().state == listing_state::leaving);
    testing::expectEqual(toString(list.take(listWith("live"), time_point(seconds(5)))), "accepted");
    cr_assert(list.entries().front().state == listing_state::live);
}
