#include "request/tests/fixture.h"

#include "testing/expect.h"

#include <boost/json/serialize.hpp>

using namespace mustardtrail;
using namespace mustardtrail::request;
using namespace mustardtrail::request::testing;
using mustardtrail::testing::expectEqual;

namespace
{

std::string codeOf(const request_core::actions &actions)
{
    return toString(only<fail_request>(actions).failure.code);
}

std::string verdictOf(const request_core::actions &actions)
{
    return std::string(toString(only<fail_request>(actions).failure.outcome));
}

} // namespace

Test(request_core, refusesWhatTheConfigurationDoesNotKnow)
{
    const auto core = makeCore();
    const auto refused = [&](const caller_request &request) {
        const auto actions = core->handle(request, at(0));
        expectEqual(actions.size(), 1U);
        expectEqual(verdictOf(actions), "not_run");
        return codeOf(actions);
    };
    caller_request request = makeLookup("r1");
    request.workClass = class_id("none");
    expectEqual(refused(request), "MT-3004");
    request = makeLookup("r1");
    request.customer = customer_id("none");
    expectEqual(refused(request), "MT-3005");
    request = makeLookup("r1");
    request.model = model_id("none");
    expectEqual(refused(request), "MT-3006");
    request = makeDeposit("r1", std::string(513, 'k'));
    expectEqual(refused(request), "MT-3001");
    expectEqual(core->runningCount(), 0U);
}

Test(request_core, refusesBeforeTheFirstView)
{
    request_core core({}, instance_id("e1"), 1, {});
    expectEqual(codeOf(core.handle(makeLookup("r1"), at(0))), "MT-4008");
}

Test(request_core, relaysAnAnswerInOrderWhateverTheOrderOfArrival)
{
    const auto core = makeCore();
    expectEqual(only<start_attempt>(core->handle(makeLookup("r1"), at(0))).target, instance_id("e1"));
    core->handle(attempt_accepted{ attempt_id("r1.1"), backend_server_id("g1") }, at(1));
    cr_assert(core->handle(attempt_finished{ attempt_id("r1.1"), 3, "stop" }, at(2)).empty());
    cr_assert(core->handle(makeOutput("r1.1", 2, "c"), at(3)).empty());
    expectEqual(only<relay_output>(core->handle(makeOutput("r1.1", 0, "a"), at(4))).text, "a");
    cr_assert(core->handle(makeOutput("r1.1", 0, "a"), at(5)).empty());
    const auto last = core->handle(makeOutput("r1.1", 1, "b"), at(6));
    expectEqual(count<relay_output>(last), 2U);
    expectEqual(only<complete_request>(last).finishReason, "stop");
    cr_assert(core->handle(makeOutput("r1.1", 1, "b"), at(7)).empty());
    cr_assert_not(core->nextWake().has_value());
}

Test(request_core, neverCompletesATruncatedAnswer)
{
    const auto core = makeCore();
    core->handle(makeLookup("r1"), at(0));
    core->handle(makeOutput("r1.1", 0, "a"), at(1));
    core->handle(attempt_accepted{ attempt_id("r1.1"), backend_server_id("g1") }, at(1));
    core->handle(attempt_finished{ attempt_id("r1.1"), 3, "stop" }, at(2));
    cr_assert(core->nextWake() == at(502));
    const auto actions = core->onTick(at(502));
    expectEqual(only<cancel_attempt>(actions).attempt, attempt_id("r1.1"));
    const auto &next = only<start_attempt>(actions);
    expectEqual(next.deliveredText, "a");
    expectEqual(next.deliveredTokens, 1);
    cr_assert(core->handle(makeOutput("r1.1", 1, "late"), at(503)).empty());
    core->handle(makeOutput("r1.2", 0, "b"), at(504));
    expectEqual(count<complete_request>(core->handle(attempt_finished{ attempt_id("r1.2"), 1, "stop" }, at(505))), 1U);
}

Test(request_core, endContradictingThePiecesIsNoAnswer)
{
    const auto core = makeCore();
    core->handle(makeDeposit("r1"), at(0));
    core->handle(makeOutput("r1.1", 0, "a"), at(1));
    core->handle(makeOutput("r1.1", 1, "b"), at(1));
    const auto actions = core->handle(attempt_finished{ attempt_id("r1.1"), 1, "stop" }, at(2));
    expectEqual(codeOf(actions), "MT-5004");
    expectEqual(verdictOf(actions), "ran");
}

Test(request_core, retriesElsewhereThenInAnotherDataCentre)
{
    const auto core = makeCore();
    core->handle(makeLookup("r1"), at(0));
    auto actions = core->handle(makeFailure("r1.1", error_code::backend_connection_lost, verdict::may_have_run, "g1"), at(1));
    expectEqual(only<start_attempt>(actions).target, instance_id("e2"));
    actions = core->handle(makeFailure("r1.2", error_code::backend_refused, verdict::not_run, "g2"), at(2));
    cr_assert(actions.empty());
    const time_point wake = core->nextWake().value();
    cr_assert(wake > at(2) && wake <= at(7));
    actions = core->onTick(wake);
    expectEqual(only<start_attempt>(actions).target, instance_id("e3"));
    expectEqual(only<start_attempt>(actions).excluded.size(), 2U);
}

Test(request_core, verdictIsTheWorstOfAllAttempts)
{
    const auto core = makeCore();
    core->handle(makeLookup("r1"), at(0));
    core->handle(makeFailure("r1.1", error_code::backend_connection_lost, verdict::may_have_run, "g1"), at(1));
    const auto actions = core->handle(makeFailure("r1.2", error_code::prompt_exceeds_fleet, verdict::not_run, "g2"), at(2));
    expectEqual(verdictOf(actions), "may_have_run");
}

Test(request_core, doesNotBelieveNotRunAfterOutput)
{
    const auto core = makeCore();
    core->handle(makeDeposit("r1"), at(0));
    core->handle(makeOutput("r1.1", 0, "a"), at(1));
    const auto actions = core->handle(makeFailure("r1.1", error_code::peer_connection_lost, verdict::not_run, ""), at(2));
    expectEqual(verdictOf(actions), "may_have_run");
}

Test(request_core, runsAnUnrepeatableRequestAgainOnlyWhenItDidNotRun)
{
    const auto core = makeCore();
    core->handle(makeDeposit("r1"), at(0));
    auto actions = core->handle(makeFailure("r1.1", error_code::backend_refused, verdict::not_run, "s1"), at(1));
    expectEqual(only<start_attempt>(actions).target, instance_id("e3"));
    actions = core->handle(makeFailure("r1.2", error_code::backend_connection_lost, verdict::may_have_run, "s2"), at(2));
    expectEqual(count<start_attempt>(actions), 0U);
    expectEqual(verdictOf(actions), "may_have_run");
    cr_assert_not(only<fail_request>(actions).failure.retryAfter.has_value());
}

Test(request_core, continuesOnlyWithTheSameModelVersion)
{
    const auto core = makeCore("e3");
    core->handle(makeLookup("r1"), at(0));
    core->handle(attempt_accepted{ attempt_id("r1.1"), backend_server_id("g3") }, at(1));
    core->handle(makeOutput("r1.1", 0, "a"), at(2));
    const auto actions = core->handle(makeFailure("r1.1", error_code::backend_connection_lost, verdict::may_have_run, "g3"), at(3));
    const auto &next = only<start_attempt>(actions);
    expectEqual(next.target, instance_id("e1"));
    expectEqual(next.excluded.back(), backend_server_id("g4"));
}

Test(request_core, doesNotContinueAnAnswerOfUnknownVersion)
{
    const auto core = makeCore();
    core->handle(makeLookup("r1"), at(0));
    core->handle(makeOutput("r1.1", 0, "a"), at(2));
    const auto actions = core->handle(makeFailure("r1.1", error_code::peer_connection_lost, verdict::may_have_run, ""), at(3));
    expectEqual(codeOf(actions), "MT-6002");
}

Test(request_core, retryStormStaysInsideTheBudget)
{
    request_core_options options;
    options.retries.burst = 10;
    const auto core = makeCore("e1", options);
    constexpr int requests = 1000;
    std::size_t retries = 0;
    for (int index = 0; index < requests; ++index) {
        const std::string id = std::to_string(index);
        core->handle(makeLookup(id), at(0));
        const auto actions = core->handle(makeFailure(id + ".1", error_code::backend_refused, verdict::not_run, "g1"), at(0));
        retries += count<start_attempt>(actions);
        if (count<fail_request>(actions) > 0) {
            expectEqual(codeOf(actions), "MT-4006");
            cr_assert(only<fail_request>(actions).failure.retryAfter.has_value());
        }
    }
    // The budget may save up 10 and earns 0.1 for each of 1,000 first attempts.
    cr_assert(retries >= 100 && retries <= 110);
}

Test(request_core, endsAtItsDeadlineInEveryState)
{
    const auto core = makeCore();
    core->handle(makeLookup("quiet"), at(0));
    core->handle(makeLookup("begun"), at(0));
    core->handle(makeOutput("begun.1", 0, "a"), at(1));
    core->handle(makeDeposit("deposit"), at(0));
    const auto firstToken = core->onTick(at(300));
    expectEqual(only<fail_request>(firstToken).request, request_id("quiet"));
    expectEqual(only<cancel_attempt>(firstToken).attempt, attempt_id("quiet.1"));
    expectEqual(core->runningCount(), 2U);
    const auto total = core->onTick(at(5000));
    expectEqual(count<fail_request>(total), 2U);
    expectEqual(core->runningCount(), 0U);
}

Test(request_core, endsAtItsDeadlineWhileWaitingToRetry)
{
    request_core_options options;
    options.backoffBase = milliseconds(200);
    options.backoffLimit = milliseconds(200);
    const auto core = makeCore("e1", options);
    core->handle(makeLookup("r1"), at(0));
    core->handle(makeFailure("r1.1", error_code::backend_refused, verdict::not_run, "g1"), at(60));
    core->handle(makeFailure("r1.2", error_code::backend_refused, verdict::not_run, "g2"), at(70));
    const auto actions = core->onTick(at(300));
    expectEqual(codeOf(actions), "MT-4005");
    expectEqual(verdictOf(actions), "not_run");
}

Test(request_core, startsNoAttemptWithoutTimeLeft)
{
    const auto core = makeCore();
    core->handle(makeLookup("r1"), at(0));
    const auto actions = core->handle(makeFailure("r1.1", error_code::backend_refused, verdict::not_run, "g1"), at(285));
    expectEqual(codeOf(actions), "MT-4005");
    expectEqual(only<fail_request>(actions).failure.detail, "cause=MT-5003");
}

Test(request_core, aProcessThatSleptGivesNoLateAnswer)
{
    const auto core = makeCore();
    core->handle(makeLookup("r1"), at(0));
    const auto actions = core->handle(makeOutput("r1.1", 0, "a"), at(9000));
    expectEqual(count<relay_output>(actions), 0U);
    expectEqual(codeOf(actions), "MT-4005");
}

Test(request_core, callerGoneEndsEveryState)
{
    request_core_options options;
    const auto core = makeCore("e1", options);
    core->handle(makeLookup("running"), at(0));
    const auto running = core->handle(caller_gone{ request_id("running") }, at(1));
    expectEqual(only<cancel_attempt>(running).attempt, attempt_id("running.1"));
    expectEqual(verdictOf(running), "may_have_run");
    core->handle(makeLookup("waiting"), at(2));
    core->handle(makeFailure("waiting.1", error_code::backend_refused, verdict::not_run, "g1"), at(3));
    core->handle(makeFailure("waiting.2", error_code::backend_refused, verdict::not_run, "g2"), at(4));
    const auto waiting = core->handle(caller_gone{ request_id("waiting") }, at(4));
    expectEqual(count<cancel_attempt>(waiting), 0U);
    expectEqual(verdictOf(waiting), "not_run");
    core->handle(makeDeposit("claiming", "k"), at(5));
    expectEqual(verdictOf(core->handle(caller_gone{ request_id("claiming") }, at(6))), "not_run");
    cr_assert(core->handle(caller_gone{ request_id("claiming") }, at(7)).empty());
    expectEqual(core->runningCount(), 0U);
}

Test(request_core, attemptsAtADeadInstanceFailWithTheView)
{
    const auto core = makeCore("e3");
    core->handle(makeLookup("r1"), at(0));
    core->handle(makeFailure("r1.1", error_code::not_owner, verdict::not_run, ""), at(1));
    const auto actions = core->onView(makeView("e3", at(2), { "e1" }), at(2));
    expectEqual(only<cancel_attempt>(actions).attempt, attempt_id("r1.2"));
    expectEqual(core->runningCount(), 1U);
}

Test(request_core, stopRefusesNewAndFinishesRunning)
{
    const auto core = makeCore();
    core->handle(makeLookup("r1"), at(0));
    core->beginStop(at(1));
    const auto refused = core->handle(makeLookup("r2"), at(2));
    expectEqual(codeOf(refused), "MT-4009");
    expectEqual(verdictOf(refused), "not_run");
    cr_assert(only<fail_request>(refused).failure.retryAfter.has_value());
    core->handle(makeOutput("r1.1", 0, "a"), at(3));
    expectEqual(count<complete_request>(core->handle(attempt_finished{ attempt_id("r1.1"), 1, "stop" }, at(4))), 1U);
    expectEqual(core->runningCount(), 0U);
}

Test(request_core, wholeAnswerWhoseEndWasLostIsComplete)
{
    const auto core = makeCore();
    caller_request request = makeLookup("r1");
    request.maxNewTokens = 1;
    core->handle(request, at(0));
    core->handle(makeOutput("r1.1", 0, "a"), at(1));
    const auto actions = core->handle(makeFailure("r1.1", error_code::backend_connection_lost, verdict::may_have_run, "g1"), at(2));
    expectEqual(only<complete_request>(actions).finishReason, "length");
}

Test(request_core, holdsABoundedCountOfPiecesAhead)
{
    request_core_options options;
    options.maxPiecesAhead = 2;
    const auto core = makeCore("e1", options);
    core->handle(makeDeposit("r1"), at(0));
    cr_assert(core->handle(makeOutput("r1.1", 1, "b"), at(1)).empty());
    cr_assert(core->handle(makeOutput("r1.1", 2, "c"), at(1)).empty());
    const auto actions = core->handle(makeOutput("r1.1", 3, "d"), at(1));
    expectEqual(codeOf(actions), "MT-5004");
    expectEqual(verdictOf(actions), "may_have_run");
}

Test(request_core, dumpNamesNoTextOfTheAnswer)
{
    const auto core = makeCore();
    core->handle(makeLookup("r1"), at(0));
    core->handle(makeOutput("r1.1", 0, "secret"), at(1));
    const boost::json::value state = core->dump(at(2));
    expectEqual(state.at("running").to_number<int>(), 1);
    expectEqual(state.at("next_due").at(0).at("tokens").to_number<int>(), 1);
    cr_assert_not(boost::json::serialize(state).find("secret") != std::string::npos);
}
