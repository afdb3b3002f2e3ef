#include "gateway/load_report.h"
#include "gateway/route_table.h"
#include "gateway/tests/fleet_simulation.h"
#include "testing/expect.h"

#include <algorithm>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::fleet_simulation;
using mustardtrail::gateway::testing::network_conditions;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const service_id service("model");
using cause = resend_budget::cause;

constexpr resend_limits limits{ 0.2, seconds(10), 106.0 };

/// A fleet whose instances borrow from each other, with all second sends and requests on record.
struct lending_fleet {
    lending_fleet(unsigned count, unsigned dataCentres, network_conditions network, std::uint64_t seed)
        : fleet(count, dataCentres, 1, network, seed, limits)
    {
        for (unsigned instance = 0; instance < count; ++instance) {
            configure(instance);
        }
        fleet.runFor(seconds(6));
    }

    void configure(unsigned instance)
    {
        published_config config;
        config.version = 1;
        config.services[service] = {};
        const auto published = std::make_shared<const published_config>(config);
        fleet.state(instance).apply(config_published{ published }, fleet.now(), fleet.now());
    }

    void addRequests(unsigned instance, unsigned count)
    {
        for (unsigned each = 0; each < count; ++each) {
            fleet.state(instance).resends.countRequest(service, fleet.now());
            requests.push_back(fleet.now());
        }
    }

    void addRequestsEverywhere(unsigned count)
    {
        for (unsigned instance = 0; instance < fleet.size(); ++instance) {
            addRequests(instance, count);
        }
    }

    unsigned take(unsigned instance, cause why, unsigned most)
    {
        fleet_state &state = fleet.state(instance);
        unsigned taken = 0;
        while (taken < most && state.resends.tryTake(service, why, fleet.now(), state.peers.largestFleetSize())) {
            ++taken;
            sends.push_back(fleet.now());
        }
        return taken;
    }

    /// The instance loses the servers of so many streams at once. Returns how many it may send again.
    unsigned loseStreams(unsigned instance, unsigned streams)
    {
        unsigned saved = take(instance, cause::interrupted, streams);
        second_send_loans &borrowed = fleet.state(instance).resends.borrowed();
        for (unsigned each = saved; each < streams; ++each) {
            borrowed.startWaiting(keyOf(service));
        }
        for (milliseconds waited(0); waited < second_send_loans::maxWait; waited += second_send_loans::checkInterval) {
            if (borrowed.isAskDue(fleet.now())) {
                fleet.report(instance);
            }
            fleet.runFor(second_send_loans::checkInterval);
            const unsigned taken = take(instance, cause::interrupted, streams - saved);
            for (unsigned each = 0; each < taken; ++each) {
                borrowed.stopWaiting(keyOf(service));
            }
            saved += taken;
        }
        for (unsigned each = saved; each < streams; ++each) {
            borrowed.stopWaiting(keyOf(service));
        }
        return saved;
    }

    static long within(const std::vector<time_point> &times, time_point end)
    {
        return std::count_if(times.begin(), times.end(), [end](time_point each) {
            return each <= end && end - each < limits.window;
        });
    }

    /// The users' rule, for the window that ends with each second send.
    void checkRule(std::uint64_t seed) const
    {
        for (const time_point end : sends) {
            const long counted
                = std::max({ within(requests, end), within(requests, end - limits.window), within(requests, end - limits.window / 2) });
            const double allowed = limits.ratio * static_cast<double>(counted) + limits.slack;
            const long sent = within(sends, end);
            cr_assert(static_cast<double>(sent) <= allowed, "seed %llu: %ld of %g", static_cast<unsigned long long>(seed), sent, allowed);
        }
    }

    fleet_simulation fleet;
    std::vector<time_point> requests;
    std::vector<time_point> sends;
};

size_t encodedSize(const load_report &added)
{
    load_report report = added;
    report.sender = instance_id("sender");
    report.address = 1;
    return encodeLoadReport(report, time_point()).size();
}

} // namespace

Test(second_send_loans, anInstanceThatLosesAllItsConnectionsHasWhatTheOthersDoNotUse)
{
    lending_fleet world(12, 3, {}, 1);
    world.addRequestsEverywhere(50);
    expectEqual(world.loseStreams(5, 60), 60U);
    world.checkRule(1);
}

Test(second_send_loans, anInstanceOfAFleetOf295HasWhatTheOthersOfItsCellDoNotUse)
{
    lending_fleet world(295, 5, {}, 1);
    world.addRequestsEverywhere(17);
    expectEqual(world.loseStreams(7, 60), 60U);
    world.checkRule(1);
}

Test(second_send_loans, everyInstanceKeepsHalfOfItsShareForItself)
{
    lending_fleet world(12, 3, {}, 1);
    world.addRequestsEverywhere(50);
    const unsigned wholeShare = 15; // 0.8 x (0.2 x 50 + 106 / 12)
    cr_assert_lt(world.loseStreams(5, 1'000), 1'000U);
    for (unsigned instance = 0; instance < 12; ++instance) {
        cr_assert(instance == 5 || world.take(instance, cause::interrupted, 1'000) >= wholeShare / 2, "instance %u", instance);
    }
    world.checkRule(1);
}

Test(second_send_loans, theSumStaysWithinTheRuleWhenManyLoseTheirConnections)
{
    lending_fleet world(12, 3, {}, 1);
    world.addRequestsEverywhere(50);
    for (unsigned round = 0; round < 20; ++round) {
        for (unsigned instance = 0; instance < 12; ++instance) {
            world.loseStreams(instance, 20);
        }
    }
    world.checkRule(1);
}

Test(second_send_loans, bothSidesOfAPartitionStayWithinTheRule)
{
    lending_fleet world(12, 3, {}, 1);
    world.addRequestsEverywhere(50);
    world.fleet.setCut(0, true);
    const unsigned ofTheSmallSide = world.loseStreams(0, 1'000);
    cr_assert_gt(world.loseStreams(1, 1'000), ofTheSmallSide);
    for (unsigned instance = 0; instance < 12; ++instance) {
        world.take(instance, cause::interrupted, 1'000);
    }
    world.fleet.setCut(0, false);
    world.loseStreams(0, 1'000);
    world.checkRule(1);
}

// It does not know what it has lent, nor to whom.
Test(second_send_loans, aLenderThatStartsAnewDoesNotSpendItsLoansAgain)
{
    lending_fleet world(4, 1, {}, 1);
    world.addRequestsEverywhere(10);
    const unsigned borrowed = world.loseStreams(0, 1'000);
    cr_assert_gt(borrowed, 0U);
    for (unsigned instance = 1; instance < 4; ++instance) {
        world.take(instance, cause::interrupted, 1'000);
        world.fleet.restart(instance);
        world.configure(instance);
    }
    for (unsigned step = 0; step < 22; ++step) {
        world.fleet.runFor(milliseconds(500));
        for (unsigned instance = 0; instance < 4; ++instance) {
            world.loseStreams(instance, 50);
        }
    }
    world.checkRule(1);
}

// One without a configuration does not know the service, and lends as little as an earlier release does.
Test(second_send_loans, instancesThatDoNotLendKeepTheirWholeShare)
{
    lending_fleet world(12, 3, {}, 1);
    world.addRequestsEverywhere(50);
    for (unsigned instance = 6; instance < 12; ++instance) {
        world.fleet.restartFirst(instance);
        world.addRequests(instance, 50);
    }
    world.fleet.runFor(seconds(2));
    cr_assert_gt(world.loseStreams(0, 1'000), 15U);
    for (unsigned instance = 6; instance < 12; ++instance) {
        expectEqual(world.take(instance, cause::interrupted, 1'000), 15U);
    }
    world.checkRule(1);
}

Test(second_send_loans, theSumIsNeverOverTheRuleForAnySchedule)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        random_source random(seed);
        lending_fleet world(6, 3, { std::chrono::microseconds(900), 0.1, milliseconds(400) }, seed);
        std::vector<bool> hasRestarted(6);
        for (unsigned step = 0; step < 80; ++step) {
            const auto instance = static_cast<unsigned>(random.below(6));
            switch (random.below(12)) {
            case 0:
                world.fleet.setCut(static_cast<unsigned>(random.below(3)), random.below(2) == 0);
                break;
            case 1:
                world.fleet.freeze(instance);
                break;
            case 2:
                if (!hasRestarted[instance]) {
                    world.fleet.restart(instance);
                    world.configure(instance);
                    hasRestarted[instance] = true;
                }
                break;
            default:
                world.addRequestsEverywhere(1);
                world.loseStreams(instance, static_cast<unsigned>(random.below(60)));
                break;
            }
            world.fleet.runFor(milliseconds(random.below(300)));
            world.fleet.wake(static_cast<unsigned>(random.below(6)));
        }
        world.checkRule(seed);
    }
}

Test(second_send_loans, aLoanIsUsedOnceAndNotAfterItsLifetime)
{
    second_send_loans loans;
    const time_point start{ seconds(100) };
    loans.startWaiting(7);
    const auto asks = loans.takeAsks(2, start);
    expectEqual(asks.size(), 1U);
    expectEqual(asks[0].milliSends, 500U);
    const second_send_loan loan{ 7, 1, asks[0].number, 500 };
    cr_assert(loans.record(2, loan, start));
    cr_assert_not(loans.record(2, loan, start));
    cr_assert_not(loans.record(3, { 7, 1, asks[0].number, 501 }, start));
    cr_assert_not(loans.record(3, { 7, 1, asks[0].number + 1, 500 }, start));
    cr_assert_not(loans.tryTake(7, start).has_value());
    cr_assert(loans.record(3, loan, start));
    const auto taken = loans.tryTake(7, start);
    cr_assert(taken.has_value());
    cr_assert_not(loans.tryTake(7, start).has_value());
    loans.giveBack(7, *taken, start);
    cr_assert_not(loans.tryTake(7, start + second_send_loans::lifetime).has_value());
}

// 13 KB a second for all control, and an ask each 50 ms at most.
// Lenders gave away their shares for one need again and again, each time for a window, while their answers were under way.
Test(second_send_loans, whatALenderMayStillAnswerIsNotAskedForAgain)
{
    constexpr peer_address first = 1;
    const service_key key = keyOf(service);
    const time_point start{ seconds(100) };
    second_send_loans loans;
    loans.startWaiting(key);
    const auto asks = loans.takeAsks(2, start);
    expectEqual(asks.front().milliSends, 500U);
    cr_assert_not(loans.isAskDue(start + 2 * second_send_loans::askInterval));
    cr_assert(loans.record(first, { key, 7, asks.front().number, 300 }, start + milliseconds(60)));
    cr_assert(loans.isAskDue(start + milliseconds(61))); // The first lender has no more.
    expectEqual(loans.takeAsks(2, start + milliseconds(61)).front().milliSends, 100U);
    cr_assert(loans.isAskDue(start + second_send_loans::answerTime)); // The second one's answer is lost, or it has nothing.
}

Test(second_send_loans, takeLittleRoomInReports)
{
    load_report asking;
    asking.secondSendAsks = { { keyOf(service), 100'000, 60'000 } };
    load_report lending;
    lending.secondSendLoans = { { keyOf(service), ~std::uint64_t{ 0 }, 100'000, 60'000 } };
    cr_assert_leq(encodedSize(asking) - encodedSize({}), 40U);
    cr_assert_leq(encodedSize(lending) - encodedSize({}), 40U);
    const auto decoded = decodeLoadReport(encodeLoadReport(
                                              [&] {
                                                  load_report both = asking;
                                                  both.sender = instance_id("sender");
                                                  both.address = 1;
                                                  both.secondSendLoans = lending.secondSendLoans;
                                                  return both;
                                              }(),
                                              time_point()),
        time_point());
    cr_assert(decoded.has_value());
    expectEqual(decoded->secondSendAsks.at(0).milliSends, 60'000U);
    expectEqual(decoded->secondSendLoans.at(0).borrower, ~std::uint64_t{ 0 });
}

Test(second_send_loans, anAnsweringLenderStaysWithinTheBytesForControl)
{
    constexpr std::uint64_t bytesPerSecond = 13'000;
    lending_fleet world(295, 5, {}, 1);
    world.addRequestsEverywhere(17);
    world.fleet.resetTraffic();
    world.loseStreams(7, 60);
    const std::uint64_t withLoans = world.fleet.sentBy(12).bytes;
    world.fleet.runFor(seconds(12));
    world.fleet.resetTraffic();
    world.fleet.runFor(second_send_loans::maxWait);
    const std::uint64_t without = world.fleet.sentBy(12).bytes;
    const std::uint64_t bound = bytesPerSecond * static_cast<std::uint64_t>(second_send_loans::maxWait.count()) / 1'000;
    cr_assert_leq(
        withLoans, without + bound, "%llu %llu", static_cast<unsigned long long>(withLoans), static_cast<unsigned long long>(without));
}
