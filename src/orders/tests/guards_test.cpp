#include "orders/order_planner.h"

#include "group/tests/support/fleet.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::orders;
using mustardtrail::group::testing::testStart;

namespace
{

constexpr std::chrono::milliseconds stepTime{ 100 };
constexpr std::chrono::seconds longEnough{ 50 };
const backend_server_id first("g1");
const backend_server_id second("g2");

/// One planner that owns g1; g2 belongs to another instance. Every read of g1 is answered with `state`.
class guard_world
{
public:
    guard_world()
        : m_planner(order_options{}, random_source(1))
    {
        config = group::testing::makeConfiguration(2, 1000);
        config.weightStoreBytesPerSecond = 1'000'000'000;
    }

    /// Steps for a while; every order is accepted.
    void run(std::chrono::milliseconds time)
    {
        group::testing::view_maker maker;
        maker.config = std::make_shared<const config::configuration>(config);
        maker.self = instance_id("e1");
        maker.owners[second] = instance_id("e2");
        for (const time_point end = m_now + time; m_now < end; m_now += stepTime) {
            auto view = std::make_shared<membership::fleet_view>(*maker.make(m_now));
            view->selfLeaving = leaving;
            for (const auto &[id, stopped] : stops) {
                view->backends[id].acceptsNewWork = !stopped;
            }
            take(m_planner.handle(view_updated{ view }, m_now));
            take(m_planner.onTick(m_now));
        }
    }

    config::configuration config;
    engine_state state{ 1, {}, {}, 0 };
    bool leaving = false;
    std::map<backend_server_id, bool> stops;
    int reads = 0;
    int readsOfOther = 0;
    int orders = 0;

private:
    void take(const order_actions &actions)
    {
        for (const order_action &action : actions) {
            if (const auto *read = std::get_if<read_state>(&action)) {
                reads += read->backend == first ? 1 : 0;
                readsOfOther += read->backend == second ? 1 : 0;
                if (read->backend == first) {
                    take(m_planner.handle(state_read{ first, state }, m_now));
                }
            } else {
                ++orders;
                take(m_planner.handle(order_accepted{ first }, m_now));
            }
        }
    }

    order_planner m_planner;
    time_point m_now = testStart;
};

} // namespace

Test(guards, anInstanceInItsPlannedStopGivesNoOrder)
{
    guard_world world;
    world.leaving = true;
    world.run(longEnough);
    testing::expectEqual(world.reads, 0);
    world.leaving = false;
    world.run(longEnough);
    testing::expectEqual(world.orders, 1);
}

Test(guards, anEngineInItsPlannedStopGetsNoOrder)
{
    guard_world world;
    world.stops[first] = true;
    world.run(longEnough);
    testing::expectEqual(world.reads, 0);
}

Test(guards, anAcceptedLoadIsNotSentAgainWhileTheEngineStillLoads)
{
    guard_world world;
    world.run(longEnough);
    testing::expectEqual(world.orders, 1);
    cr_assert(world.reads > 10);
    world.state.incarnation = 2;
    world.run(std::chrono::seconds(5));
    testing::expectEqual(world.orders, 2);
}

Test(guards, aCopyOnAnEngineThatTakesNoWorkIsNotAskedFor)
{
    guard_world world;
    world.config.backendServers[first].models.clear();
    world.state.models = { { model_id("pay"), world.config.backendServers[first].modelVersion } };
    world.stops[second] = true;
    world.run(longEnough);
    testing::expectEqual(world.readsOfOther, 0);
    world.stops[second] = false;
    world.run(longEnough);
    cr_assert(world.readsOfOther > 0);
    testing::expectEqual(world.orders, 0);
}

Test(guards, aCopyInAnotherDataCentreIsNotAskedFor)
{
    guard_world world;
    world.config.backendServers[first].models.clear();
    world.config.backendServers[second].dataCentre = data_centre_id("dc2");
    world.state.models = { { model_id("pay"), world.config.backendServers[first].modelVersion } };
    world.run(longEnough);
    testing::expectEqual(world.readsOfOther, 0);
}
