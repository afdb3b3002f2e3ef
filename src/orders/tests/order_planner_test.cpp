#include "orders/tests/support/orders_world.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::orders;
using mustardtrail::orders::testing::fake_engine;
using mustardtrail::orders::testing::orders_world;
using mustardtrail::orders::testing::testStart;

namespace
{

constexpr std::chrono::seconds longEnough{ 200 };
const backend_server_id engine("g1");

void setModels(config::configuration &config, const char *id, std::vector<model_id> models)
{
    config.backendServers[backend_server_id(id)].models = std::move(models);
}

/// Owner e1 decides an order, sleeps, and wakes when e2 owns the engine and has given orders.
std::string sleepThroughAChangeOfOwner(bool checksFencing,
    bool checksBeforeSend,
    order_options options = orders_world::defaults(),
    std::chrono::milliseconds sleep = std::chrono::seconds(20))
{
    orders_world world(1, 2, std::move(options));
    world.engines["g1"].checksFencing = checksFencing;
    world.checksBeforeSend = checksBeforeSend;
    world.run(std::chrono::seconds(30));
    world.publish([](config::configuration &config) {
        setModels(config, "g1", { model_id("pay"), model_id("bookings") });
    });
    fake_engine &one = world.engines["g1"];
    const auto begin = std::chrono::seconds(31);
    world.run(begin + sleep + std::chrono::seconds(60), [&](std::chrono::milliseconds at) {
        if (at == begin) {
            one.state.models.clear();
            world.owners["e1"].asleepUntil = begin + sleep;
            world.owners["e1"].held.push_back({ engine,
                { order_kind::unload, { model_id("pay"), std::string(1, '1') }, {}, 1 },
                testStart + begin + sleep * 2,
                testStart + begin });
            world.moveOwner("g1", "e2", sleep + std::chrono::seconds(1));
        }
    });
    return world.breaches;
}

} // namespace

Test(order_planner, bringsEveryEngineToTheConfiguration)
{
    orders_world world(6, 3);
    world.run(longEnough);
    cr_assert(world.converged());
    mustardtrail::testing::expectEqual(world.loadedModels, 6);
    for (const auto &[id, one] : world.engines) {
        mustardtrail::testing::expectEqual(one.orders.size(), 1U);
    }
}

Test(order_planner, loadsTheNewVersionBeforeTheOldOneGoes)
{
    orders_world world(3, 2);
    world.run(longEnough);
    world.publish([](config::configuration &config) {
        for (auto &[id, server] : config.backendServers) {
            server.modelVersion += "b";
        }
    });
    world.run(longEnough * 2, [&](std::chrono::milliseconds) {
        cr_assert(world.copies("pay") == 3);
    });
    cr_assert(world.converged());
    mustardtrail::testing::expectEqual(world.breaches, "");
}

Test(order_planner, lastCopyStaysUntilAnotherServes)
{
    const auto dropped = [](bool keepLastCopy) {
        order_options options = orders_world::defaults();
        options.keepLastCopy = keepLastCopy;
        options.weightBytes = [](const loaded_model &model) {
            return model.model == model_id("pay") ? 20'000'000 : 0;
        };
        orders_world world(2, 2, std::move(options));
        setModels(world.config, "g2", { model_id("bookings") });
        world.publish([](config::configuration &) {});
        world.run(longEnough);
        world.publish([](config::configuration &config) {
            setModels(config, "g1", { model_id("bookings") });
            setModels(config, "g2", { model_id("pay") });
        });
        world.run(longEnough * 2);
        cr_assert(world.converged());
        return !world.breaches.empty();
    };
    cr_assert_not(dropped(true));
    cr_assert(dropped(false));
}

Test(order_planner, modelThatNoEngineIsToServeGoes)
{
    orders_world world(2, 1);
    world.run(longEnough);
    world.publish([](config::configuration &config) {
        setModels(config, "g1", {});
        setModels(config, "g2", {});
    });
    world.run(longEnough * 2);
    mustardtrail::testing::expectEqual(world.copies("pay"), 0);
}

Test(order_planner, changesTheRoleFirst)
{
    order_options options = orders_world::defaults();
    options.role = [](const config::backend_server &) {
        return std::string("prefill");
    };
    orders_world world(1, 1, std::move(options));
    world.run(longEnough);
    const auto &orders = world.engines["g1"].orders;
    mustardtrail::testing::expectEqual(orders.size(), 2U);
    cr_assert(orders.front().kind == order_kind::change_role);
    cr_assert(world.converged());
}

Test(order_planner, failedOrdersAreRepeatedAndDoNoHarm)
{
    orders_world world(6, 2);
    world.failOrdersPercent = 60;
    world.run(longEnough * 3);
    cr_assert(world.converged());
}

Test(order_planner, givesNoOrderOnAViewThatIsNotConfirmedOrIsolated)
{
    orders_world lost(2, 1);
    lost.owners["e1"].confirmedUntil = std::chrono::milliseconds(0);
    lost.run(longEnough);
    mustardtrail::testing::expectEqual(lost.loadedModels, 0);
    orders_world alone(2, 1);
    alone.owners["e1"].maker.isolated = true;
    alone.run(longEnough);
    mustardtrail::testing::expectEqual(alone.loadedModels, 0);
    alone.owners["e1"].maker.isolated = false;
    alone.run(longEnough * 2);
    cr_assert(alone.converged());
}

Test(order_planner, newOwnerWaitsBeforeItsFirstOrder)
{
    orders_world world(1, 1);
    world.run(membership::viewLease + std::chrono::milliseconds(4900));
    mustardtrail::testing::expectEqual(world.loadedModels, 0);
    world.run(std::chrono::seconds(8));
    mustardtrail::testing::expectEqual(world.loadedModels, 1);
}

Test(order_planner, viewLostBetweenDecisionAndSend)
{
    order_planner planner(orders_world::defaults(), random_source(1));
    group::testing::view_maker maker;
    auto config = group::testing::makeConfiguration(1, 1000);
    config.weightStoreBytesPerSecond = 1'000'000'000;
    maker.config = std::make_shared<const config::configuration>(config);
    maker.self = instance_id("e1");
    time_point start = testStart + std::chrono::hours(1);
    std::optional<send_order> order;
    for (int steps = 0; steps < 100 && !order; ++steps) {
        start += std::chrono::milliseconds(100);
        planner.handle(view_updated{ maker.make(start) }, start);
        auto actions = planner.onTick(start);
        if (!actions.empty() && std::holds_alternative<read_state>(actions.front())) {
            actions = planner.handle(state_read{ engine, { 1, {}, {}, 0 } }, start);
        }
        if (!actions.empty()) {
            order = std::get<send_order>(actions.front());
        }
    }
    cr_assert(order.has_value());
    cr_assert(planner.maySend(*order, start + membership::viewLease - std::chrono::milliseconds(1)));
    cr_assert_not(planner.maySend(*order, start + membership::viewLease));
    maker.fencing[engine] = 2;
    planner.handle(view_updated{ maker.make(start) }, start);
    cr_assert_not(planner.maySend(*order, start));
}

Test(order_planner, sleeperDoesNotActOnItsOldView)
{
    mustardtrail::testing::expectEqual(sleepThroughAChangeOfOwner(true, true), "");
    mustardtrail::testing::expectEqual(sleepThroughAChangeOfOwner(false, true), "");
    mustardtrail::testing::expectEqual(sleepThroughAChangeOfOwner(true, false), "");
    cr_assert(sleepThroughAChangeOfOwner(false, false) != "");
}

Test(order_planner, twoOwnersAtOnceWhileTheListLags)
{
    const auto overlap = [](bool waitForOwnership) {
        order_options options = orders_world::defaults();
        options.waitForOwnership = waitForOwnership;
        options.checkInterval = std::chrono::milliseconds(500);
        orders_world world(1, 2, std::move(options));
        world.run(std::chrono::seconds(30));
        world.moveOwner("g1", "e2", std::chrono::milliseconds(4900));
        bool flip = false;
        world.run(std::chrono::seconds(60), [&](std::chrono::milliseconds at) {
            // Both owners always find something to do.
            if (at.count() % 700 == 0) {
                flip = !flip;
                world.engines["g1"].state.models.clear();
                world.engines["g1"].state.highestFencingNumber = 0;
                ++world.engines["g1"].state.incarnation;
            }
        });
        return !world.breaches.empty();
    };
    cr_assert_not(overlap(true));
    cr_assert(overlap(false));
}

Test(order_planner, leavesAnEngineThatKnowsANewerOwnerAlone)
{
    orders_world world(1, 1);
    world.engines["g1"].state.highestFencingNumber = 9;
    world.run(longEnough);
    cr_assert(world.engines["g1"].orders.empty());
    world.owners["e1"].maker.fencing[engine] = 10;
    world.run(longEnough * 2);
    cr_assert(world.converged());
}
