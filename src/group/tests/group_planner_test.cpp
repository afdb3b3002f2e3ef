#include "group/group_planner.h"
#include "group/tests/support/fleet.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::group;
using namespace mustardtrail::group::testing;

namespace
{

constexpr token_count memoryTokens = 1000;

struct planning {
    config::configuration config = makeConfiguration(4, memoryTokens);
    std::map<backend_server_id, token_count> free;

    result<group_plan> plan(token_count prompt, token_count answer, std::set<backend_server_id> excluded = {}) const
    {
        view_maker maker;
        maker.config = std::make_shared<const config::configuration>(config);
        maker.self = instance_id("e1");
        const auto freeTokens = [this](const backend_server_id &id) {
            const auto found = free.find(id);
            return std::optional(found == free.end() ? memoryTokens : found->second);
        };
        return planGroup(*maker.make(testStart), freeTokens, { model_id("pay"), prompt, answer, std::move(excluded) }, {});
    }
};

void expectWhole(const group_plan &plan, token_count prompt, token_count answer)
{
    token_count next = 0;
    for (const segment &part : plan.segments) {
        mustardtrail::testing::expectEqual(part.firstToken, next);
        cr_assert(part.tokens > 0);
        cr_assert(part.reservedTokens <= memoryTokens);
        next += part.tokens;
    }
    mustardtrail::testing::expectEqual(next, prompt);
    mustardtrail::testing::expectEqual(plan.segments.back().reservedTokens, plan.segments.back().tokens + answer);
}

} // namespace

Test(group_planner, coversEveryLengthWithTheFewestEngines)
{
    for (token_count prompt = 1; prompt <= 3980; prompt += 13) {
        const auto plan = planning().plan(prompt, 20);
        cr_assert(plan.has_value());
        expectWhole(*plan, prompt, 20);
        const auto needed = static_cast<size_t>((prompt + 20 + 949) / 950);
        cr_assert(plan->segments.size() <= needed);
    }
}

Test(group_planner, longestPromptIsTheMemoryOfTheDataCentre)
{
    mustardtrail::testing::expectEqual(largestGroup(planning().config, model_id("pay")), 4000);
    cr_assert(planning().plan(3980, 20).has_value());
    const auto refused = planning().plan(3981, 20);
    cr_assert(refused.error().code == error_code::prompt_exceeds_fleet);
    cr_assert_not(refused.error().retryAfter.has_value());
    cr_assert(planning().plan(100, 1000).error().code == error_code::prompt_exceeds_fleet);
    cr_assert(planning().plan(100, 999).has_value());
}

Test(group_planner, engineThatDecodesHasRoomForTheAnswer)
{
    planning fleet;
    fleet.free = { { backend_server_id("g1"), 400 }, { backend_server_id("g2"), 400 }, { backend_server_id("g4"), 300 } };
    const auto plan = fleet.plan(900, 700);
    cr_assert(plan.has_value());
    cr_assert(plan->segments.back().backend == backend_server_id("g3"));
    expectWhole(*plan, 900, 700);
}

Test(group_planner, busyAndOutOfServiceAreNotForever)
{
    planning fleet;
    fleet.free = { { backend_server_id("g1"), 0 }, { backend_server_id("g2"), 100 } };
    const auto busy = fleet.plan(2500, 20);
    cr_assert(busy.error().code == error_code::group_memory_busy);
    cr_assert(busy.error().retryAfter == std::chrono::milliseconds(2000));
    cr_assert(busy.error().outcome == verdict::not_run);
    fleet.free.clear();
    for (const char *id : { "g1", "g2" }) {
        fleet.config.backendServers[backend_server_id(id)].inService = false;
    }
    const auto out = fleet.plan(2500, 20);
    cr_assert(out.error().code == error_code::group_memory_busy);
    cr_assert(out.error().retryAfter == std::chrono::milliseconds(30000));
}

Test(group_planner, staysInOneDataCentreAndOnOneModel)
{
    planning fleet;
    fleet.config.backendServers[backend_server_id("g4")].dataCentre = data_centre_id("dc2");
    cr_assert(fleet.plan(3500, 20).error().code == error_code::prompt_exceeds_fleet);
    fleet.config.backendServers[backend_server_id("g3")].models = { model_id("other") };
    cr_assert(fleet.plan(2500, 20).error().code == error_code::prompt_exceeds_fleet);
    cr_assert(fleet.plan(1500, 20)->dataCentre == data_centre_id("dc1"));
    cr_assert(fleet.plan(900, 20, { backend_server_id("g1"), backend_server_id("g2") })->dataCentre == data_centre_id("dc2"));
}
