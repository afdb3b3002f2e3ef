#include "orders/tests/support/orders_world.h"
#include "orders/weight_store_share.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::orders;
using mustardtrail::orders::testing::orders_world;
using mustardtrail::orders::testing::testStart;

namespace
{

constexpr std::int64_t fleetRate = 1'000'000; ///< Bytes a second.
constexpr std::int64_t weights = 5'000'000; ///< Bytes of one model.

} // namespace

Test(weight_store_share, savesBeforeItSpends)
{
    weight_store_share share;
    cr_assert_not(share.readyAt(weights, testStart).has_value());
    share.update(fleetRate, 10, testStart);
    mustardtrail::testing::expectEqual(share.bytesPerSecond(), 100'000);
    const auto ready = share.readyAt(weights, testStart);
    cr_assert(*ready == testStart + std::chrono::seconds(50));
    cr_assert_not(share.take(weights, *ready - std::chrono::milliseconds(1)));
    cr_assert(share.take(weights, *ready));
    cr_assert_not(share.take(1, *ready + std::chrono::hours(1)));
}

Test(weight_store_share, idleNodesSaveNothing)
{
    weight_store_share share;
    share.update(fleetRate, 1, testStart);
    cr_assert_not(share.take(1, testStart + std::chrono::hours(5)));
    cr_assert(*share.readyAt(weights, testStart + std::chrono::hours(5)) == testStart + std::chrono::hours(5) + std::chrono::seconds(5));
}

Test(weight_store_share, aLookLosesLessThanAByte)
{
    constexpr std::int64_t looks = 7000;
    constexpr std::int64_t full = 9 * fleetRate / 7 * (looks / 1000);
    weight_store_share share;
    share.update(9 * fleetRate, 7, testStart);
    share.readyAt(full, testStart);
    for (std::int64_t look = 1; look <= looks; ++look) {
        share.update(9 * fleetRate, 7, testStart + std::chrono::milliseconds(look));
    }
    cr_assert(share.savedBytes() > full - looks && share.savedBytes() <= full);
}

Test(weight_store_share, countThatFallsInAPartitionIsNotBelievedAtOnce)
{
    weight_store_share share(std::chrono::minutes(10));
    share.update(fleetRate, 100, testStart);
    share.update(fleetRate, 5, testStart + std::chrono::minutes(9));
    mustardtrail::testing::expectEqual(share.bytesPerSecond(), fleetRate / 100);
    share.update(fleetRate, 5, testStart + std::chrono::minutes(11));
    mustardtrail::testing::expectEqual(share.bytesPerSecond(), fleetRate / 5);
    share.update(fleetRate, 200, testStart + std::chrono::minutes(12));
    mustardtrail::testing::expectEqual(share.bytesPerSecond(), fleetRate / 200);
}

Test(weight_store_share, allNodesTogetherStayBelowTheFleetsRate)
{
    for (const int nodes : { 1, 3, 9, 30 }) {
        order_options options = orders_world::defaults();
        options.weightBytes = [](const loaded_model &) {
            return weights;
        };
        orders_world world(60, nodes, std::move(options));
        world.run(std::chrono::seconds(400), [&](std::chrono::milliseconds at) {
            const std::int64_t most = fleetRate * at.count() / 1000;
            cr_assert(world.loadedModels * weights <= most, "nodes=%d at=%lld", nodes, static_cast<long long>(at.count()));
        });
        cr_assert(world.converged(), "nodes=%d", nodes);
    }
}
