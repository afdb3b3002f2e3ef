#include "group/tests/support/golden_session.h"
#include "orders/tests/support/orders_world.h"

#include "testing/expect.h"

#include <sstream>

using namespace mustardtrail;
using namespace mustardtrail::orders;
using mustardtrail::group::testing::replayGolden;
using mustardtrail::group::testing::session_input;
using mustardtrail::orders::testing::orders_world;

namespace
{

void publish(orders_world &world, const session_input &input)
{
    world.publish([&](config::configuration &config) {
        config::backend_server &server = config.backendServers[backend_server_id(input.subject)];
        server.models.clear();
        std::istringstream models(input.text("models"));
        for (std::string model; std::getline(models, model, ',');) {
            server.models.emplace_back(model);
        }
        server.modelVersion = input.text("version");
    });
}

void perform(orders_world &world, const session_input &input)
{
    const std::chrono::milliseconds span(input.number("span"));
    if (input.verb == "publish") {
        return publish(world, input);
    }
    if (input.verb == "sleep") {
        world.owners[input.subject].asleepUntil = input.at + span;
    } else if (input.verb == "move") {
        world.moveOwner(input.subject, input.text("to"), span);
    } else if (input.verb == "restart") {
        world.engines[input.subject].state.models.clear();
        ++world.engines[input.subject].state.incarnation;
    } else if (input.verb == "fail_orders") {
        world.failOrdersPercent = static_cast<int>(input.number("percent"));
    } else {
        mustardtrail::testing::expectEqual(input.verb, "view_ends");
        world.owners[input.subject].confirmedUntil = input.at + span;
    }
}

std::string runSession(const std::vector<session_input> &inputs)
{
    const session_input &set = inputs.front();
    mustardtrail::testing::expectEqual(set.verb, "world");
    orders_world world(static_cast<int>(set.number("engines")), static_cast<int>(set.number("owners")));
    world.run(std::chrono::seconds(set.number("seconds")), [&](std::chrono::milliseconds at) {
        for (size_t place = 1; place < inputs.size(); ++place) {
            if (inputs[place].at == at) {
                perform(world, inputs[place]);
            }
        }
    });
    return world.trace + "breaches: " + world.breaches + " converged: " + (world.converged() ? "yes" : "no") + "\n";
}

void replay(const std::string &name)
{
    replayGolden(std::string(MT_ORDERS_TESTS_DIR) + "/golden/" + name, runSession);
}

} // namespace

Test(golden_orders, newVersionIsLoadedBeforeTheOldOneGoes)
{
    replay("new_version.txt");
}

Test(golden_orders, lastCopyWaitsForAnother)
{
    replay("last_copy.txt");
}

Test(golden_orders, ownerSleepsAndOrdersFail)
{
    replay("owner_sleeps_and_orders_fail.txt");
}
