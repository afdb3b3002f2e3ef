#include "placement/router.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::placement;
using std::chrono::milliseconds;

namespace
{

const time_point start{ std::chrono::hours(1) };

/// Three data centres with one entry instance (e0..e2) and one engine (g0..g2) each; e0 is this instance.
std::shared_ptr<membership::fleet_view> makeView()
{
    auto configuration = std::make_shared<config::configuration>();
    auto view = std::make_shared<membership::fleet_view>();
    for (const std::string number : { "0", "1", "2" }) {
        const data_centre_id centre("dc" + number);
        configuration->dataCentres[centre] = { centre, "region", true };
        config::backend_server server;
        server.id = backend_server_id("g" + number);
        server.dataCentre = centre;
        server.models = { model_id("m") };
        server.memoryTokens = 100000;
        configuration->backendServers[server.id] = server;
        view->backends[server.id] = { instance_id("e" + number), true, start, 1 };
        if (number != "0") {
            view->peers[instance_id("e" + number)].id = instance_id("e" + number);
        }
    }
    view->config = std::move(configuration);
    view->self = instance_id("e0");
    view->selfDataCentre = data_centre_id("dc0");
    view->confirmedAt = start;
    return view;
}

work_item makeWork(const std::string &attempt, token_count tokens = 2000)
{
    work_item work;
    work.attempt = attempt_id(attempt);
    work.model = model_id("m");
    work.promptTokens = tokens;
    work.maxNewTokens = 100;
    work.arrival = start;
    work.firstTokenDeadline = start + milliseconds(1000);
    return work;
}

owner_summary makeSummary(const std::string &owner, milliseconds firstToken, time_point takenAt = start)
{
    pool_summary pool;
    pool.pool = { pool_kind::model, "m" };
    pool.freeTokens = 100000;
    pool.prefillTokensPerSecond = 20000;
    pool.shortFirstToken = firstToken;
    pool.longFirstToken = firstToken + milliseconds(6000);
    return { instance_id(owner), takenAt, { pool } };
}

error failureOf(const result<route> &answer)
{
    cr_assert_not(answer.has_value());
    return answer.error();
}

} // namespace

Test(router, prefersItsOwnDataCentreWithoutAnySummary)
{
    router origin;
    origin.onView(makeView(), start);
    const auto answer = origin.pick(makeWork("a"), {}, start);
    cr_assert(answer.has_value());
    testing::expectEqual(answer->target, instance_id("e0"));
    testing::expectEqual(answer->backend, backend_server_id("g0"));
}

Test(router, goesToAnotherDataCentreWhenItsOwnIsSlow)
{
    router origin;
    origin.onView(makeView(), start);
    origin.onSummary(makeSummary("e0", milliseconds(800)), start);
    origin.onSummary(makeSummary("e1", milliseconds(300)), start);
    origin.onSummary(makeSummary("e2", milliseconds(100)), start);
    testing::expectEqual(origin.pick(makeWork("a"), {}, start)->target, instance_id("e2"));
}

Test(router, addsAttemptsSentSinceASummaryToIt)
{
    router origin;
    origin.onView(makeView(), start);
    for (const char *owner : { "e0", "e1", "e2" }) {
        origin.onSummary(makeSummary(owner, milliseconds(100)), start);
    }
    std::map<instance_id, int> sent;
    for (int number = 0; number < 12; ++number) {
        ++sent[origin.pick(makeWork(std::to_string(number)), {}, start)->target];
    }
    for (const char *owner : { "e0", "e1", "e2" }) {
        cr_assert(sent[instance_id(owner)] >= 3, "%s got %d", owner, sent[instance_id(owner)]);
    }
}

Test(router, excludesInstancesAndBackendsThatFailedBefore)
{
    router origin;
    origin.onView(makeView(), start);
    const auto answer = origin.pick(makeWork("a"), { { instance_id("e0") }, { backend_server_id("g1") } }, start);
    testing::expectEqual(answer->target, instance_id("e2"));
    // The only instance left owns just the server that failed before: that server is tried again.
    const auto again = origin.pick(makeWork("b"), { { instance_id("e0"), instance_id("e2") }, { backend_server_id("g1") } }, start);
    testing::expectEqual(again->target, instance_id("e1"));
    const std::vector<instance_id> all{ instance_id("e0"), instance_id("e1"), instance_id("e2") };
    const auto none = origin.pick(makeWork("c"), { all, { backend_server_id("g1") } }, start);
    cr_assert(failureOf(none).code == error_code::no_backend_server);
}

Test(router, refusesWithARetryDelayWhenNoOwnerCanMeetTheTarget)
{
    router origin;
    origin.onView(makeView(), start);
    for (const char *owner : { "e0", "e1", "e2" }) {
        origin.onSummary(makeSummary(owner, milliseconds(1500)), start);
    }
    const error failure = failureOf(origin.pick(makeWork("a"), {}, start));
    cr_assert(failure.code == error_code::target_unreachable);
    cr_assert(failure.outcome == verdict::not_run);
    testing::expectEqual(failure.retryAfter->count(), 500);
}

Test(router, doesNotRefuseByAStaleSummary)
{
    router origin;
    origin.onView(makeView(), start);
    for (const char *owner : { "e0", "e1", "e2" }) {
        origin.onSummary(makeSummary(owner, milliseconds(1500), start - std::chrono::seconds(6)), start);
    }
    cr_assert(origin.pick(makeWork("a"), {}, start).has_value());
}

Test(router, sendsAtOnceToAnOwnerThatTakesWorkAgain)
{
    router origin;
    const auto serving = makeView();
    origin.onView(serving, start);
    for (const char *owner : { "e0", "e1" }) {
        origin.onSummary(makeSummary(owner, milliseconds(1500)), start);
    }
    auto drained = std::make_shared<membership::fleet_view>(*serving);
    drained->backends.edit().at(backend_server_id("g2")).acceptsNewWork = false;
    origin.onView(drained, start + milliseconds(100));
    origin.onView(serving, start + milliseconds(300));
    // A peer's last summary is passed to the router repeatedly until a newer one arrives.
    origin.onSummary(makeSummary("e2", summaryUnreachable, start + milliseconds(200)), start + milliseconds(400));
    const auto answer = origin.pick(makeWork("a"), {}, start + milliseconds(400));
    cr_assert(answer.has_value());
    testing::expectEqual(answer->target, instance_id("e2"));
}

Test(router, doesNotRefuseByASummaryTakenBeforeServersWereAdded)
{
    router origin;
    const auto larger = makeView();
    larger->backends.edit().at(backend_server_id("g1")).owner = instance_id("e0");
    larger->backends.edit().at(backend_server_id("g2")).owner = instance_id("e0");
    auto smaller = std::make_shared<membership::fleet_view>(*larger);
    smaller->backends.edit().at(backend_server_id("g2")).acceptsNewWork = false;
    origin.onView(smaller, start);
    origin.onSummary(makeSummary("e0", milliseconds(1500)), start);
    cr_assert_not(origin.pick(makeWork("a"), {}, start + milliseconds(100)).has_value());
    origin.onView(larger, start + milliseconds(200));
    cr_assert(origin.pick(makeWork("b"), {}, start + milliseconds(200)).has_value());
    origin.onSummary(makeSummary("e0", milliseconds(1500), start + milliseconds(300)), start + milliseconds(300));
    cr_assert_not(origin.pick(makeWork("c"), {}, start + milliseconds(300)).has_value());
    origin.onView(smaller, start + milliseconds(400));
    cr_assert_not(origin.pick(makeWork("d"), {}, start + milliseconds(400)).has_value());
}

Test(router, sendsWhenAllSummariesReportNoCapacityButTheViewListsServers)
{
    router origin;
    origin.onView(makeView(), start);
    for (const char *owner : { "e0", "e1", "e2" }) {
        origin.onSummary(makeSummary(owner, summaryUnreachable, start + milliseconds(100)), start);
    }
    cr_assert(origin.pick(makeWork("a"), {}, start + milliseconds(200)).has_value());
}

Test(router, avoidsAnOwnerThatReportsNoCapacityForOneSecondOnly)
{
    router origin;
    origin.onView(makeView(), start);
    origin.onSummary(makeSummary("e0", summaryUnreachable), start);
    origin.onSummary(makeSummary("e1", milliseconds(900)), start);
    origin.onSummary(makeSummary("e2", milliseconds(900)), start);
    work_item work = makeWork("a");
    work.firstTokenDeadline = start + milliseconds(5000);
    cr_assert(origin.pick(work, {}, start + milliseconds(1000))->target != instance_id("e0"));
    work.attempt = attempt_id("b");
    testing::expectEqual(origin.pick(work, {}, start + milliseconds(1001))->target, instance_id("e0"));
}

Test(router, givesTheReasonWhenNoBackendIsAvailable)
{
    router origin;
    auto view = makeView();
    for (auto &[id, assignment] : view->backends.edit()) {
        assignment.acceptsNewWork = false;
    }
    origin.onView(view, start);
    const error drained = failureOf(origin.pick(makeWork("a"), {}, start));
    cr_assert(drained.code == error_code::no_backend_server);
    cr_assert(drained.retryAfter.has_value());

    work_item unknown = makeWork("b");
    unknown.model = model_id("none");
    cr_assert_not(failureOf(origin.pick(unknown, {}, start)).retryAfter.has_value());
}

Test(router, sendsNoWorkToAnOwnerThatIsLeavingOrDead)
{
    router origin;
    auto view = makeView();
    view->selfLeaving = true;
    view->peers[instance_id("e1")].state = membership::peer_state::leaving;
    view->peers[instance_id("e2")].state = membership::peer_state::suspect;
    origin.onView(view, start);
    testing::expectEqual(origin.pick(makeWork("a"), {}, start)->target, instance_id("e2"));
}

Test(router, refusesAPromptThatFitsNoEngine)
{
    router origin;
    origin.onView(makeView(), start);
    cr_assert(failureOf(origin.pick(makeWork("a", 100001), {}, start)).code == error_code::prompt_exceeds_fleet);
}
