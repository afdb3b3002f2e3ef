#include "orders/tests/support/orders_world.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::orders;
using mustardtrail::orders::testing::orders_world;

namespace
{

constexpr std::uint64_t schedules = 300;
constexpr std::chrono::seconds faultSpan{ 150 };
constexpr std::chrono::seconds settled{ 500 };
constexpr std::uint64_t owners = 3;
constexpr std::uint64_t engines = 4;

void changeModels(config::configuration &config, random_source &random)
{
    const std::string name = group::testing::numbered("g", 1 + random.below(engines));
    config::backend_server &server = config.backendServers[backend_server_id(name)];
    server.models.clear();
    for (const char *model : { "pay", "bookings", "quotes" }) {
        if (random.below(2) == 0) {
            server.models.emplace_back(model);
        }
    }
    if (random.below(4) == 0) {
        server.modelVersion += "b";
    }
}

void disturb(orders_world &world, random_source &random, std::chrono::milliseconds at)
{
    const std::string engine = group::testing::numbered("g", 1 + random.below(engines));
    const std::string owner = group::testing::numbered("e", 1 + random.below(owners));
    switch (random.below(5)) {
    case 0:
        world.owners[owner].asleepUntil = at + std::chrono::milliseconds(random.below(15000));
        return;
    case 1:
        world.moveOwner(engine, owner, std::chrono::milliseconds(random.below(4900)));
        return;
    case 2:
        world.engines[engine].state.models.clear();
        ++world.engines[engine].state.incarnation;
        return;
    default:
        world.publish([&](config::configuration &config) {
            changeModels(config, random);
        });
    }
}

std::string runSchedule(std::uint64_t seed, bool keepLastCopy)
{
    random_source random(seed);
    order_options options = orders_world::defaults();
    options.keepLastCopy = keepLastCopy;
    options.weightBytes = [](const loaded_model &) {
        return 3'000'000;
    };
    orders_world world(engines, owners, std::move(options));
    world.failOrdersPercent = static_cast<int>(random.below(30));
    for (auto &[id, one] : world.engines) {
        one.checksFencing = random.below(2) == 0;
    }
    std::chrono::milliseconds next{ 20000 };
    world.run(settled, [&](std::chrono::milliseconds at) {
        if (at >= next && at < faultSpan) {
            disturb(world, random, at);
            next = at + std::chrono::milliseconds(5000 + random.below(10000));
        }
    });
    return world.breaches + (world.converged() ? "" : "not converged; ");
}

} // namespace

Test(random_orders, convergeWithoutABreach)
{
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        mustardtrail::testing::expectEqual(group::testing::numbered(runSchedule(seed, true), seed), group::testing::numbered("", seed));
    }
}

Test(random_orders, noticeALastCopyThatGoes)
{
    int noticed = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        noticed += runSchedule(seed, false).empty() ? 0 : 1;
    }
    cr_assert(noticed > 0);
}
