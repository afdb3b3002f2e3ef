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

Test(request_core, refusesUnknownNamesAndLongKeys)
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

Test(request_core, retryBudgetLimitsARetryStorm)
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
    // The bucket holds 10 and gains 0.1 for each of the 1,000 first attempts.
    cr_assert(retries >= 100 && retries <= 110);
}

Test(request_core, failsAtItsDeadlineDuringBackoff)
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

Test(request_core, retriesFailedServersWhenNoneIsLeftAndTheRequestMayHaveRun)
{
    request_core_options options;
    options.exclusionResetDelay = milliseconds(100);
    const auto core = makeCore("e1", options);
    core->handle(makeLookup("r1"), at(0));
    core->handle(makeFailure("r1.1", error_code::backend_connection_lost, verdict::may_have_run, "g1"), at(10));
    core->handle(makeFailure("r1.2", error_code::backend_connection_lost, verdict::may_have_run, "g2"), at(20));
    core->onTick(at(40));
    const auto waits = core->handle(makeFailure("r1.3", error_code::peer_connection_lost, verdict::may_have_run, "g3"), at(50));
    expectEqual(count<fail_request>(waits), 0U);
    core->onTick(at(70));
    const auto again = core->onTick(at(170));
    expectEqual(count<start_attempt>(again), 1U);
    cr_assert(only<start_attempt>(again).excluded.empty());
}

Test(request_core, refusesAtOnceWhenEveryServerRefusedAndTheRequestHasNotRun)
{
    const auto core = makeCore("e1");
    core->handle(makeLookup("r1"), at(0));
    core->handle(makeFailure("r1.1", error_code::backend_refused, verdict::not_run, "g1"), at(10));
    core->handle(makeFailure("r1.2", error_code::backend_refused, verdict::not_run, "g2"), at(20));
    core->onTick(at(40));
    core->handle(makeFailure("r1.3", error_code::peer_connection_lost, verdict::not_run, "g3"), at(50));
    const auto refused = core->onTick(at(70));
    expectEqual(codeOf(refused), "MT-4003");
    expectEqual(verdictOf(refused), "not_run");
}

Test(request_core, boundsTheBufferOfOutOfOrderPieces)
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

Test(request_core, dumpOmitsTheTextOfTheAnswer)
{
    const auto core = makeCore();
    core->handle(makeLookup("r1"), at(0));
    core->handle(makeOutput("r1.1", 0, "secret"), at(1));
    const boost::json::value state = core->dump(at(2));
    expectEqual(state.at("running").to_number<int>(), 1);
    expectEqual(state.at("next_due").at(0).at("tokens").to_number<int>(), 1);
    cr_assert_not(boost::json::serialize(state).find("secret") != std::string::npos);
}
