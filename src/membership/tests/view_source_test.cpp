#include "membership/view_source.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::membership;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

const endpoint ownView{ "10.0.0.1", 9'000 };

peer peerOf(const std::string &id, const std::string &dataCentre, peer_state state = peer_state::alive)
{
    peer made;
    made.id = instance_id(id);
    made.dataCentre = data_centre_id(dataCentre);
    made.heartbeats = { "10.0.0.9", static_cast<std::uint16_t>(9'000 + std::stoi(id.substr(1))) };
    made.state = state;
    return made;
}

fleet_view viewOf(const std::string &self, const std::vector<peer> &peers)
{
    fleet_view view;
    view.self = instance_id(self);
    for (const peer &item : peers) {
        view.peers.emplace(item.id, item);
    }
    return view;
}

view_source sourceOfE1()
{
    return view_source(instance_id("e1"), data_centre_id("dc1"), ownView);
}

std::string askedAt(view_source &source, const fleet_view &known, time_point now)
{
    const view_question question = source.next(known, now);
    return question.lender ? question.lender->str() : "own";
}

void failOwn(view_source &source, const fleet_view &known, time_point now)
{
    source.noteAnswer(source.next(known, now), false, now);
}

} // namespace

Test(view_source, keepsToItsOwnViewWhileThatAnswers)
{
    view_source source = sourceOfE1();
    const fleet_view known = viewOf("e1", { peerOf("e2", "dc1") });
    time_point now{};
    for (int round = 0; round < 10; ++round, now += milliseconds(100)) {
        const view_question question = source.next(known, now);
        cr_assert_not(question.lender.has_value());
        source.noteAnswer(question, true, now);
    }
}

Test(view_source, borrowsInItsOwnDataCentreFirstAndNeverFromTheDeadOrLeaving)
{
    const time_point now{};
    view_source source = sourceOfE1();
    const fleet_view known = viewOf("e1",
        { peerOf("e2", "dc1", peer_state::dead), peerOf("e3", "dc1", peer_state::leaving), peerOf("e4", "dc2"), peerOf("e5", "dc1") });
    failOwn(source, known, now);
    expectEqual(askedAt(source, known, now + milliseconds(100)), "e5");
}

Test(view_source, goesOnToAnotherLenderWhenOneFails)
{
    time_point now{};
    view_source source = sourceOfE1();
    const fleet_view known = viewOf("e1", { peerOf("e4", "dc2"), peerOf("e5", "dc1") });
    failOwn(source, known, now);
    now += milliseconds(100);
    source.noteAnswer(source.next(known, now), false, now);
    expectEqual(askedAt(source, known, now), "e4");
}

Test(view_source, asksItsOwnViewAgainOnceASecondAndComesBack)
{
    time_point now{};
    view_source source = sourceOfE1();
    const fleet_view known = viewOf("e1", { peerOf("e5", "dc1") });
    failOwn(source, known, now);
    expectEqual(askedAt(source, known, now + milliseconds(900)), "e5");
    now += milliseconds(1'000);
    const view_question again = source.next(known, now);
    cr_assert_not(again.lender.has_value());
    source.noteAnswer(again, true, now);
    expectEqual(askedAt(source, known, now + milliseconds(100)), "own");
}

Test(view_source, asksItsOwnViewWhenNobodyCanLend)
{
    const time_point now{};
    view_source source = sourceOfE1();
    const fleet_view alone = viewOf("e1", {});
    failOwn(source, alone, now);
    expectEqual(askedAt(source, alone, now + milliseconds(100)), "own");
}

Test(view_source, aBorrowedViewMakesNobodyItsOwnPeerAndLeavesTheLenderReachable)
{
    const view_source source = sourceOfE1();
    const peer lender = peerOf("e5", "dc1");
    const fleet_view lent = viewOf("e5", { peerOf("e1", "dc1", peer_state::dead), peerOf("e4", "dc2") });
    const fleet_view view = source.borrowed(lent, lender);
    expectEqual(view.self.str(), "e1");
    expectEqual(view.selfDataCentre.str(), "dc1");
    cr_assert(view.selfLeaving);
    cr_assert_not(view.peers.contains(instance_id("e1")));
    cr_assert(view.peers.at(instance_id("e5")) == lender);
    cr_assert(view.peers.contains(instance_id("e4")));
}
