#include "group/reservation_codec.h"
#include "node/peer_methods.h"
#include "node/tests/fleet.h"
#include "node/tests/fleet_config.h"

#include "testing/expect.h"

#include <algorithm>

using namespace mustardtrail;
using namespace mustardtrail::node::testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t seed = 1;

request::caller_request makeHistory(const char *id)
{
    request::caller_request made;
    made.id = request_id(id);
    made.customer = customer_id("c1");
    made.workClass = class_id("history");
    made.model = model_id("pay");
    made.promptTokens = 60'000;
    made.maxNewTokens = 16;
    return made;
}

void pass(fleet &session, std::chrono::milliseconds time)
{
    session.time().runUntil(session.time().now() + time);
}

void expectNoViolation(fleet &session)
{
    session.finish();
    for (const std::string &violation : violations(session.trace())) {
        testing::expectEqual(violation, std::string());
    }
}

size_t runsOf(fleet &session, const char *id)
{
    return static_cast<size_t>(std::count_if(session.trace().runs.begin(), session.trace().runs.end(), [&](const traced_run &run) {
        return run.request == request_id(id);
    }));
}

bool grants(node::entry_node &owner, const char *group, time_point now)
{
    const group::reserve_request request{ { group::group_id(group), 1 }, backend_server_id("g1"), 20'000, 6s, 1 };
    const auto actions = owner.handle(node::peer_call{ 1, std::string(node::peer_method::reserve), group::toJson(request) }, now);
    for (const node::entry_action &action : actions) {
        if (const auto *answer = std::get_if<node::peer_answer>(&action)) {
            return !group::reserveReplyFromJson(answer->answer.value())->failure;
        }
    }
    return false;
}

} // namespace

Test(group_drain, drainedEngineRenewsItsGroupsAndTakesNoOther)
{
    constexpr time_point start{ 10s };
    node::entry_options options;
    options.self = instance_id("e2");
    node::entry_node owner(options);
    const auto view = makeOwnerView("e2", start);
    owner.handle(node::view_received{ view }, start);
    cr_assert(grants(owner, "before", start));
    const auto drained = std::make_shared<membership::fleet_view>(*view);
    drained->backends[backend_server_id("g1")].acceptsNewWork = false;
    owner.handle(node::view_received{ drained }, start + 100ms);
    cr_assert(grants(owner, "before", start + 200ms));
    cr_assert_not(grants(owner, "after", start + 200ms));
}

// The segments are reserved and prefilled by 32 ms; the drain is in all views before the completion is opened.
Test(group_drain, groupThatRanBeforeADrainFinishesInItsEngines)
{
    fleet session(seed);
    pass(session, 590ms);
    session.send(0, makeHistory("r1"));
    pass(session, 4ms);
    session.drain(data_centre_id("dc1"), false);
    session.drain(data_centre_id("dc2"), false);
    pass(session, 4000ms);
    const traced_request &request = session.trace().requests.at(request_id("r1"));
    testing::expectEqual(request.finals.size(), 1U);
    cr_assert_not(request.finals.front().failure.has_value());
    testing::expectEqual(request.delivered, request.expected);
    testing::expectEqual(runsOf(session, "r1"), 1U);
    expectNoViolation(session);
}

Test(group_drain, newGroupIsNotAdmittedAfterADrain)
{
    fleet session(seed);
    pass(session, 590ms);
    session.drain(data_centre_id("dc1"), false);
    session.drain(data_centre_id("dc2"), false);
    pass(session, 200ms);
    session.send(0, makeHistory("r1"));
    pass(session, 4000ms);
    testing::expectEqual(runsOf(session, "r1"), 0U);
    testing::expectEqual(session.count("group calls"), 0U);
    expectNoViolation(session);
}
