#include "group/tests/support/golden_session.h"
#include "group/tests/support/group_world.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::group;
using namespace mustardtrail::group::testing;

namespace
{

void perform(group_world &world, const session_input &input)
{
    const std::chrono::milliseconds span(input.number("span"));
    if (input.verb == "submit") {
        const std::chrono::milliseconds deadline(input.number("deadline", 30000));
        return world.submit(input.subject, input.text("entry"), input.number("prompt"), deadline, input.number("repeatable", 1) == 1);
    }
    if (input.verb == "cancel") {
        return world.cancel(input.subject);
    }
    if (input.verb == "kill") {
        return world.killEntry(input.subject);
    }
    if (input.verb == "restart") {
        return world.restartEngine(input.subject);
    }
    if (input.verb == "move") {
        return world.moveOwner(input.subject, input.text("to"));
    }
    if (input.verb == "pause") {
        return world.pauseEntry(input.subject, span);
    }
    mustardtrail::testing::expectEqual(input.verb, "lose_view");
    world.loseView(input.subject, span);
}

std::string runSession(const std::vector<session_input> &inputs)
{
    const session_input &set = inputs.front();
    mustardtrail::testing::expectEqual(set.verb, "world");
    world_options options;
    options.engines = static_cast<int>(set.number("engines", 3));
    options.duplicatePercent = static_cast<int>(set.number("duplicate_percent"));
    options.lossPercent = static_cast<int>(set.number("loss_percent"));
    options.spread = std::chrono::milliseconds(set.number("spread"));
    group_world world(options);
    for (size_t place = 1; place < inputs.size(); ++place) {
        world.at(inputs[place].at, [&world, &input = inputs[place]] {
            perform(world, input);
        });
    }
    world.run(std::chrono::seconds(set.number("seconds")));
    return world.trace + "violations: " + world.violations(false) + "\n";
}

void replay(const std::string &name)
{
    replayGolden(std::string(MT_GROUP_TESTS_DIR) + "/golden/" + name, runSession);
}

} // namespace

Test(golden_group, threeEnginesToTheEnd)
{
    replay("three_engines.txt");
}

Test(golden_group, twoGroupsOnAFleetForOne)
{
    replay("two_groups.txt");
}

Test(golden_group, engineDiesInTheMiddle)
{
    replay("engine_dies.txt");
}

Test(golden_group, ownerChangesViewIsLostCallerGoes)
{
    replay("owner_changes_and_caller_goes.txt");
}

Test(golden_group, duplicatesAndLosses)
{
    replay("duplicates_and_losses.txt");
}

Test(golden_group, entryDiesAndItsMemoryIsFreed)
{
    replay("entry_dies.txt");
}
