#include "group/memory_reconciler.h"
#include "group/tests/support/fleet.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::group;
using namespace mustardtrail::group::testing;

namespace
{

const backend_server_id engine("g1");
constexpr std::uint64_t ownFencing = 5;
constexpr std::chrono::seconds longestTarget{ 60 };

/// An owner that reads the engine's lists once a second.
struct watcher {
    explicit watcher(reconcile_options options = {})
        : reconciler(options, [this](const backend_server_id &, const engine_group_id &group) {
            return knownGroups.contains(group);
        })
    {
        maker.config = std::make_shared<const config::configuration>(makeConfiguration(1, 1000));
        maker.self = instance_id("e1");
        maker.fencing[engine] = ownFencing;
        holdings.report.backend = engine;
        holdings.report.incarnation = 1;
        holdings.report.memoryTokens = 1000;
    }

    reconcile_actions look(std::chrono::seconds at)
    {
        holdings.report.takenAt = testStart + at;
        const time_point confirmedAt = confirmed ? testStart + at : time_point{};
        return reconciler.onHoldings(holdings, streams, *maker.make(confirmedAt), testStart + at);
    }
    /// Looks every second; the second in which the first action came, or -1.
    std::int64_t firstAction(std::chrono::seconds until)
    {
        for (std::chrono::seconds at{ 0 }; at <= until; at += std::chrono::seconds(1)) {
            if (!look(at).empty()) {
                return at.count();
            }
        }
        return -1;
    }
    void stream(const char *attempt, std::uint64_t fencing)
    {
        holdings.report.streams.push_back({ attempt_id(attempt), 100, fencing });
        holdings.report.usedTokens += 100;
    }
    void group(const char *name, std::chrono::milliseconds leaseLeft)
    {
        holdings.groups.push_back({ engine_group_id(name), 300, leaseLeft });
        holdings.report.usedTokens += 300;
    }

    std::set<engine_group_id> knownGroups;
    known_streams streams;
    view_maker maker;
    engine_holdings holdings;
    bool confirmed = true;
    memory_reconciler reconciler;
};

} // namespace

Test(memory_reconciler, cancelsAnOrphanOnlyAfterTheGrace)
{
    watcher item;
    item.stream("orphan", ownFencing);
    item.stream("known", ownFencing);
    item.streams[attempt_id("known")] = testStart;
    mustardtrail::testing::expectEqual(item.firstAction(std::chrono::seconds(30)), 10);
    const auto actions = item.look(std::chrono::seconds(11));
    mustardtrail::testing::expectEqual(actions.size(), 1U);
    const auto &cancel = std::get<cancel_orphan_stream>(actions.front());
    cr_assert(cancel.attempt == attempt_id("orphan"));
    cr_assert(cancel.fencingNumber == ownFencing);
    cr_assert(cancel.notAfter == testStart + std::chrono::seconds(11) + membership::viewLease);
}

Test(memory_reconciler, leavesStreamsOfANewerOwnerAlone)
{
    watcher item;
    item.stream("foreign", ownFencing + 1);
    mustardtrail::testing::expectEqual(item.firstAction(std::chrono::seconds(200)), -1);
    watcher careless({ .respectNewerOwner = false });
    careless.stream("foreign", ownFencing + 1);
    cr_assert(careless.firstAction(std::chrono::seconds(200)) >= 0);
}

Test(memory_reconciler, touchesNothingOnceTheEngineKnowsANewerOwner)
{
    watcher item;
    item.stream("orphan", ownFencing);
    item.group("orphan.1", {});
    item.holdings.report.highestFencingNumber = ownFencing + 1;
    mustardtrail::testing::expectEqual(item.firstAction(std::chrono::seconds(200)), -1);
}

Test(memory_reconciler, streamsOfTheOwnerBeforeMayEndByThemselves)
{
    watcher item;
    item.stream("older", ownFencing - 1);
    mustardtrail::testing::expectEqual(item.firstAction(std::chrono::seconds(200)), (longestTarget + std::chrono::seconds(10)).count());
}

Test(memory_reconciler, actsOnlyOnAConfirmedViewThatHearsItsPeers)
{
    watcher item;
    item.stream("orphan", ownFencing);
    item.confirmed = false;
    mustardtrail::testing::expectEqual(item.firstAction(std::chrono::seconds(60)), -1);
    item.confirmed = true;
    item.maker.isolated = true;
    mustardtrail::testing::expectEqual(item.firstAction(std::chrono::seconds(60)), -1);
    watcher careless({ .requireConfirmedView = false });
    careless.stream("orphan", ownFencing);
    careless.confirmed = false;
    cr_assert(careless.firstAction(std::chrono::seconds(60)) >= 0);
}

Test(memory_reconciler, releasesAGroupThatNobodyRenews)
{
    watcher item;
    item.group("orphan.1", std::chrono::milliseconds(0));
    item.group("known.1", std::chrono::milliseconds(0));
    item.knownGroups.insert(engine_group_id("known.1"));
    mustardtrail::testing::expectEqual(item.firstAction(std::chrono::seconds(30)), 10);
    const auto actions = item.look(std::chrono::seconds(11));
    mustardtrail::testing::expectEqual(actions.size(), 1U);
    cr_assert(std::get<release_orphan_group>(actions.front()).group == engine_group_id("orphan.1"));
}

Test(memory_reconciler, leavesAGroupThatSomeoneRenewsAlone)
{
    watcher item;
    item.group("foreign.1", std::chrono::milliseconds(0));
    for (std::chrono::seconds at{ 0 }; at < std::chrono::seconds(60); at += std::chrono::seconds(1)) {
        item.holdings.groups.front().leaseLeft = std::chrono::seconds(6) - at % std::chrono::seconds(3);
        cr_assert(item.look(at).empty());
    }
}

Test(memory_reconciler, reportsLossesAfterTheReportLagOrARestart)
{
    watcher item;
    item.streams[attempt_id("sent")] = testStart;
    cr_assert(item.look(std::chrono::seconds(2)).empty());
    cr_assert(std::get<stream_lost>(item.look(std::chrono::seconds(3)).front()).attempt == attempt_id("sent"));
    watcher other;
    other.look(std::chrono::seconds(1));
    other.streams[attempt_id("sent")] = testStart + std::chrono::seconds(1);
    other.holdings.report.incarnation = 2;
    mustardtrail::testing::expectEqual(other.look(std::chrono::seconds(2)).size(), 1U);
}

Test(memory_reconciler, accountsForEveryToken)
{
    watcher item;
    item.stream("known", ownFencing);
    item.stream("unknown", ownFencing);
    item.streams[attempt_id("known")] = testStart;
    item.group("known.1", std::chrono::milliseconds(6000));
    item.group("unknown.1", std::chrono::milliseconds(6000));
    item.knownGroups.insert(engine_group_id("known.1"));
    item.holdings.report.usedTokens += 50;
    item.look(std::chrono::seconds(1));
    const auto accounting = *item.reconciler.accounting(engine);
    mustardtrail::testing::expectEqual(accounting.knownTokens, 400);
    mustardtrail::testing::expectEqual(accounting.unknownTokens, 400);
    mustardtrail::testing::expectEqual(accounting.unlistedTokens, 50);
    mustardtrail::testing::expectEqual(*item.reconciler.freeApartFrom(engine, engine_group_id("known.1")), 450);
    mustardtrail::testing::expectEqual(*item.reconciler.freeApartFrom(engine, engine_group_id("unknown.1")), 750);
    item.reconciler.forget(engine);
    cr_assert_not(item.reconciler.accounting(engine).has_value());
}
