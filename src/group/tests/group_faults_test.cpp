#include "group/tests/support/group_world.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::group;
using mustardtrail::group::testing::group_world;
using mustardtrail::group::testing::numbered;
using mustardtrail::group::testing::world_options;

namespace
{

constexpr std::chrono::seconds deadline{ 30 };
/// All attempts have ended, and every lease and repeat with them.
constexpr std::chrono::seconds settled{ 120 };
constexpr token_count longPrompt = 2500; ///< More than two engines of 1000 tokens hold.

std::string engineOf(const group_action &action)
{
    if (const auto *prefill = std::get_if<kv_prefill>(&action)) {
        return prefill->call.backend.str();
    }
    const auto *reserve = std::get_if<reserve_at_owner>(&action);
    return reserve != nullptr ? reserve->request.backend.str() : "g2";
}

int actionsOfQuietRun()
{
    group_world world({});
    world.submit("a1", "e1", longPrompt, deadline);
    world.run(settled);
    mustardtrail::testing::expectEqual(world.violations(true), std::string());
    return world.actions;
}

/// Runs one attempt and produces the fault just before each of its actions in turn.
void faultAtEachAction(const std::function<void(group_world &, const group_action &)> &fault, bool repeatable = true, int engines = 3)
{
    const int actions = actionsOfQuietRun();
    for (int number = 0; number < actions; ++number) {
        world_options options;
        options.engines = engines;
        group_world world(options);
        world.onAction(number, [&](const group_action &action) {
            fault(world, action);
        });
        world.submit("a1", "e1", longPrompt, deadline, repeatable);
        world.run(settled);
        mustardtrail::testing::expectEqual(numbered(world.violations(false), number), numbered("", number));
    }
}

} // namespace

Test(group_faults, quietRunFreesEverything)
{
    cr_assert(actionsOfQuietRun() > 20);
}

Test(group_faults, callerGoneAtEachStage)
{
    faultAtEachAction([](group_world &world, const group_action &) {
        world.cancel("a1");
    });
}

Test(group_faults, entryDiesAtEachStage)
{
    faultAtEachAction([](group_world &world, const group_action &) {
        world.killEntry("e1");
    });
}

Test(group_faults, ownerDiesAtEachStage)
{
    faultAtEachAction([](group_world &world, const group_action &) {
        world.killEntry("e2");
    });
}

Test(group_faults, engineDiesAtEachStage)
{
    faultAtEachAction([](group_world &world, const group_action &action) {
        world.restartEngine(engineOf(action));
    });
}

Test(group_faults, firstEngineDiesAtEachStage)
{
    faultAtEachAction(
        [](group_world &world, const group_action &) {
            world.restartEngine("g1");
        },
        false);
}

Test(group_faults, entrySleepsAtEachStage)
{
    faultAtEachAction([](group_world &world, const group_action &) {
        world.pauseEntry("e1", std::chrono::seconds(8));
    });
}

Test(group_faults, viewIsLostAtEachStage)
{
    faultAtEachAction([](group_world &world, const group_action &) {
        world.loseView("e1", std::chrono::seconds(3));
    });
}

Test(group_faults, repeatableAttemptGoesOnWithTheRemainingEngines)
{
    world_options options;
    options.engines = 4;
    group_world world(options);
    world.at(std::chrono::milliseconds(1500), [&] {
        world.restartEngine("g3");
    });
    world.at(std::chrono::milliseconds(0), [&] {
        world.submit("a1", "e1", longPrompt, deadline);
    });
    world.run(settled);
    mustardtrail::testing::expectEqual(world.violations(true), std::string());
}

Test(group_faults, attemptThatMayNotBeRepeatedFailsOnceItsPromptWasSent)
{
    world_options options;
    options.engines = 4;
    group_world world(options);
    world.at(std::chrono::milliseconds(1500), [&] {
        world.restartEngine("g3");
    });
    world.at(std::chrono::milliseconds(0), [&] {
        world.submit("a1", "e1", longPrompt, deadline, false);
    });
    world.run(settled);
    mustardtrail::testing::expectEqual(world.violations(false), std::string());
    cr_assert(world.attempts["a1"].failure.has_value());
    cr_assert(world.attempts["a1"].failure->outcome == verdict::may_have_run);
}

Test(group_faults, twoGroupsOnAFleetForOneRunOneAfterTheOther)
{
    group_world world({});
    world.submit("a1", "e1", longPrompt, deadline);
    world.submit("a2", "e2", longPrompt, deadline);
    world.run(settled);
    mustardtrail::testing::expectEqual(world.violations(true), std::string());
}

Test(group_faults, secondGroupIsRefusedAtOnceWhenItsTimeIsTooShort)
{
    group_world world({});
    world.submit("a1", "e1", longPrompt, deadline);
    world.at(std::chrono::milliseconds(1000), [&] {
        world.submit("a2", "e2", longPrompt, std::chrono::milliseconds(3510));
    });
    world.at(std::chrono::milliseconds(1100), [&] {
        cr_assert(world.attempts["a2"].failure.has_value());
    });
    world.run(settled);
    mustardtrail::testing::expectEqual(world.violations(false), std::string());
    cr_assert(world.attempts["a1"].finished);
    cr_assert(world.attempts["a2"].failure->code == error_code::group_memory_busy);
    cr_assert(world.attempts["a2"].failure->outcome == verdict::not_run);
    cr_assert(world.attempts["a2"].failure->retryAfter.has_value());
}

Test(group_faults, promptBeyondTheFleetIsRefusedAtOnce)
{
    group_world world({});
    world.submit("a1", "e1", 2981, deadline);
    cr_assert(world.attempts["a1"].failure.has_value());
    cr_assert(world.attempts["a1"].failure->code == error_code::prompt_exceeds_fleet);
    cr_assert_not(world.attempts["a1"].failure->retryAfter.has_value());
    world.submit("a2", "e1", 2980, deadline);
    cr_assert(!world.attempts["a2"].failure.has_value());
}
