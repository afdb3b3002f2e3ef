#include "gateway/fleet_state.h"
#include "gateway/load_report.h"
#include "gateway/store_watcher.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

#include <limits>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr peer_address peer = 2;
constexpr server_start_key limited = 7;
constexpr double notANumber = std::numeric_limits<double>::quiet_NaN();
constexpr double infinite = std::numeric_limits<double>::infinity();

load_report reportWith(std::vector<rate_limit_news> news)
{
    load_report report;
    report.sender = instance_id("two");
    report.address = peer;
    report.sequence = 9;
    report.suspectedServers = { 44 };
    report.rateLimits = std::move(news);
    return report;
}

store_relay relayTo(const store_position &position)
{
    store_relay relay;
    relay.era = position.era;
    relay.fromRevision = 100;
    relay.toRevision = position.revision;
    return relay;
}

store_watcher watcherAt(const store_position &position)
{
    store_watcher watcher(std::chrono::milliseconds(600), std::chrono::milliseconds(3'000));
    watcher.onEra(position.era, at(0));
    watcher.onPage(position.revision, false, "", at(0));
    return watcher;
}

/// Hands a report to the watcher as the link to the other instances does.
void applyPosition(store_watcher &watcher, const load_report &report)
{
    watcher.onEra(report.storePosition.era, at(0));
    if (report.relay && watcher.onEra(report.relay->era, at(0))) {
        watcher.onRelay(report.relay->fromRevision, report.relay->toRevision, at(0), at(0));
    }
}

} // namespace

// Guards against an instance that is taken for gone, with all its work, because of one figure.
Test(damaged_report, anImpossibleRateLimitCostsOnlyItself)
{
    for (const double damaged : { notANumber, infinite, -infinite, -1.0, 1e300, 1e-300 }) {
        const auto report
            = decodeLoadReport(encodeLoadReport(reportWith({ { 6, damaged, at(0), {} }, { limited, 2.0, at(0), {} } }), at(0)), at(0));
        cr_assert(report.has_value(), "%g", damaged);
        expectEqual(report->suspectedServers.size(), 1U);
        std::vector<std::string> lines;
        fleet_state state(
            1, data_centre_id("dc1"), fleet_limits(), [&lines](std::string_view event, std::string_view subject, std::string_view detail) {
                lines.push_back(std::string(event) + " " + std::string(subject) + " " + std::string(detail));
            });
        state.recordRateLimits(report->address, report->rateLimits);
        cr_assert(state.rateLimits.nextSendAt(limited, 1, at(0)).has_value());
        cr_assert_not(state.rateLimits.nextSendAt(6, 1, at(0)).has_value());
        expectEqual(lines.back(), "rate_limits_ignored 2 entries=1");
    }
}

// Guards against a fleet that takes every later answer of the store for an old one.
Test(damaged_report, anImpossibleStorePositionCostsOnlyItself)
{
    constexpr std::uint64_t huge = std::numeric_limits<std::uint64_t>::max();
    const std::vector<store_position> impossible{ { huge, 5 }, { 3, huge }, { maxStoreNumber + 1, 5 }, { 3, maxStoreNumber + 1 } };
    for (const store_position &position : impossible) {
        load_report report = reportWith({});
        report.storePosition = position;
        report.relay = relayTo(position);
        const auto decoded = decodeLoadReport(encodeLoadReport(report, at(0)), at(0));
        cr_assert(decoded.has_value());
        expectEqual(decoded->suspectedServers.size(), 1U);
        cr_assert(decoded->isStorePositionDamaged);
        store_watcher watcher = watcherAt({ 3, 100 });
        applyPosition(watcher, *decoded);
        cr_assert(watcher.onEra(3, at(1)));
        cr_assert(watcher.onChanges(102, 0, at(1)));
        expectEqual(watcher.revision(), 102U);
    }
}

Test(damaged_report, aPossibleStorePositionIsKept)
{
    load_report report = reportWith({});
    report.storePosition = { maxStoreNumber, maxStoreNumber };
    report.relay = relayTo({ 3, 101 });
    const auto decoded = decodeLoadReport(encodeLoadReport(report, at(0)), at(0));
    cr_assert_not(decoded->isStorePositionDamaged);
    cr_assert(decoded->storePosition == report.storePosition);
    expectEqual(decoded->relay->toRevision, 101U);
}
