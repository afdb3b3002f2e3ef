#include "gateway/lease_schedule.h"

#include "testing/expect.h"

#include <algorithm>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

const time_point start{ milliseconds(1'000'000) };
constexpr milliseconds callTimeout{ 300 };
constexpr milliseconds eventInterval{ 100 };
constexpr milliseconds phaseStep{ 10 };
constexpr milliseconds playTime{ 10'000 };

reservation_limits usualLimits()
{
    return reservation_limits::within(milliseconds(9'000), milliseconds(4'000));
}

/// A request that uses the memory of one engine, and an instance that renews the lease with a fake clock.
struct lease_play {
    milliseconds phase{}; ///< From the grant to the silence.
    milliseconds silence{};
    milliseconds loopDelay{}; ///< Of each timer and each answer on the instance.
    bool hasEvents = true;
    milliseconds standStill{}; ///< Of the instance, from the grant on.

    bool isSilentAt(time_point now) const
    {
        return now >= start + phase && now < start + phase + silence;
    }

    reservation_age ageAt(time_point now) const
    {
        if (!hasEvents) {
            return { start - usualLimits().unproven, std::nullopt };
        }
        const time_point silentFrom = start + phase;
        const bool isPaused = now >= silentFrom && now < silentFrom + silence + eventInterval;
        const bool isUnread = now - start <= standStill + loopDelay;
        return { start, isUnread ? start : isPaused ? silentFrom : now - eventInterval };
    }

    /// Whether a renewal arrives in each lease.
    bool lasts() const
    {
        const reservation_limits limits = usualLimits();
        lease_schedule schedule(limits, start);
        time_point leaseEndsAt = start + limits.lease;
        time_point now = start + standStill;
        while (now < start + playTime) {
            now = schedule.nextAt() > now ? schedule.nextAt() + loopDelay : now;
            const time_point startedAt = now;
            const renewal_outcome outcome = renew(schedule, now, leaseEndsAt);
            if (outcome == renewal_outcome::refused) {
                return false;
            }
            schedule.record(outcome, startedAt);
        }
        return true;
    }

private:
    /// Advances the time by what the orders take.
    renewal_outcome renew(const lease_schedule &schedule, time_point &now, time_point &leaseEndsAt) const
    {
        const reservation_age age = ageAt(now);
        if (schedule.orderAt(age, now) == renewal_order::ask_first) {
            const memory_use use = isSilentAt(now) ? memory_use::unknown : memory_use::used;
            now += (use == memory_use::unknown ? callTimeout : milliseconds(0)) + loopDelay;
            if (renewalStep(use, age) != renewal_step::renew) {
                return renewal_outcome::unanswered;
            }
        }
        if (isSilentAt(now)) {
            now += callTimeout + loopDelay;
            return renewal_outcome::unanswered;
        }
        if (now >= leaseEndsAt) {
            return renewal_outcome::refused;
        }
        leaseEndsAt = now + usualLimits().lease;
        now += loopDelay;
        return renewal_outcome::granted;
    }
};

/// The phases of the silence at which the lease ends.
int lostPhases(milliseconds loopDelay, bool hasEvents)
{
    int lost = 0;
    for (const milliseconds silence : { milliseconds(900), milliseconds(1'200), milliseconds(1'700) }) {
        for (milliseconds phase{ 0 }; phase <= usualLimits().lease; phase += phaseStep) {
            lost += lease_play{ phase, silence, loopDelay, hasEvents }.lasts() ? 0 : 1;
        }
    }
    return lost;
}

} // namespace

Test(lease_schedule, aSilentEngineKeepsTheLeaseOfAnAnswerThatGoesOn)
{
    expectEqual(lostPhases(milliseconds(0), true), 0);
    expectEqual(lostPhases(milliseconds(20), true), 0);
}

Test(lease_schedule, aSilentEngineKeepsTheLeaseOnAnInstanceWithALateEventLoop)
{
    expectEqual(lostPhases(milliseconds(200), true), 0);
}

Test(lease_schedule, aSilentEngineKeepsTheLeaseOfAPromptThatHasNoEventYet)
{
    expectEqual(lostPhases(milliseconds(20), false), 0);
    expectEqual(lostPhases(milliseconds(200), false), 0);
}

Test(lease_schedule, anInstanceThatStoodStillKeepsALeaseThatHasNotEnded)
{
    int lost = 0;
    for (milliseconds standStill{ 0 }; standStill < usualLimits().lease; standStill += phaseStep) {
        lost += lease_play{ playTime, milliseconds(0), milliseconds(200), true, standStill }.lasts() ? 0 : 1;
    }
    expectEqual(lost, 0);
}

Test(lease_schedule, aLeaseThatEndsSoonIsRenewedUnprovenOnlyForAnAnswerThatHasBegun)
{
    const reservation_limits limits = usualLimits();
    const lease_schedule schedule(limits, start);
    const time_point beforeEnd = start + limits.lease - milliseconds(100);
    const reservation_age begun{ start, start };
    const reservation_age waiting{ start - limits.unproven, std::nullopt };
    expectEqual(schedule.orderAt(begun, beforeEnd) == renewal_order::renew_first, true);
    expectEqual(schedule.orderAt(begun, start + limits.lease) == renewal_order::ask_first, true);
    expectEqual(schedule.orderAt(begun, start + limits.renewalInterval) == renewal_order::ask_first, true);
    expectEqual(schedule.orderAt(waiting, beforeEnd) == renewal_order::ask_first, true);
    expectEqual(schedule.orderAt({ start, beforeEnd }, beforeEnd) == renewal_order::renew_first, true);
    lease_schedule onTime(limits, start);
    onTime.record(renewal_outcome::unanswered, beforeEnd - limits.retryInterval);
    expectEqual(onTime.orderAt({ start, beforeEnd }, beforeEnd) == renewal_order::renew, true);
}

Test(lease_schedule, memoryThatAnEngineReportsAsUnusedIsNotRenewedUnproven)
{
    const reservation_limits limits = usualLimits();
    lease_schedule schedule(limits, start);
    schedule.record(renewal_outcome::refused, start + limits.renewalInterval);
    expectEqual(schedule.orderAt({ start, start }, start + limits.lease - milliseconds(100)) == renewal_order::ask_first, true);
}

Test(lease_schedule, eventsThatAreReadAfterAStandStillProveNoUse)
{
    const reservation_limits limits = usualLimits();
    const lease_schedule schedule(limits, start);
    const time_point late = schedule.nextAt() + limits.renewalInterval;
    expectEqual(schedule.orderAt({ start, late }, late) == renewal_order::ask_first, true);
    expectEqual(schedule.orderAt({ start, schedule.nextAt() }, schedule.nextAt()) == renewal_order::renew, true);
    expectEqual(schedule.orderAt({ start, std::nullopt }, late) == renewal_order::renew, true);
}

// Memory stayed reserved for seconds after its engine had lost the run, as no event had come that could have stayed away.
Test(lease_schedule, memoryWhoseRunHasEndedBeforeTheFirstEventIsNotRenewed)
{
    lease_schedule schedule(usualLimits(), start);
    const reservation_age waiting{ start, std::nullopt };
    const time_point next = schedule.nextAt();
    schedule.recordUse(memory_use::unused);
    expectEqual(schedule.orderAt(waiting, next) == renewal_order::renew, true);
    schedule.recordUse(memory_use::used);
    schedule.recordUse(memory_use::unknown);
    expectEqual(schedule.orderAt(waiting, next) == renewal_order::renew, true);
    schedule.recordUse(memory_use::unused);
    expectEqual(schedule.orderAt(waiting, next) == renewal_order::ask_whether_used, true);
    schedule.recordUse(memory_use::used); // It was preempted for a while.
    expectEqual(schedule.orderAt(waiting, next) == renewal_order::renew, true);
    schedule.recordUse(memory_use::gone);
    expectEqual(schedule.orderAt(waiting, next) == renewal_order::ask_whether_used, true);
    expectEqual(schedule.orderAt({ start, next }, next) == renewal_order::renew, true);
}

Test(lease_schedule, aGrantedRenewalCountsFromItsOrder)
{
    const reservation_limits limits = usualLimits();
    lease_schedule schedule(limits, start);
    expectEqual((schedule.nextAt() - start).count(), std::chrono::nanoseconds(limits.renewalInterval).count());
    const time_point late = start + milliseconds(700);
    schedule.record(renewal_outcome::granted, late);
    expectEqual((schedule.nextAt() - late).count(), std::chrono::nanoseconds(limits.renewalInterval).count());
}

Test(lease_schedule, anEngineThatNeverAnswersGetsABoundedNumberOfOrders)
{
    const reservation_limits limits = usualLimits();
    lease_schedule schedule(limits, start);
    int orders = 0;
    while (schedule.nextAt() < start + playTime) {
        schedule.record(renewal_outcome::unanswered, schedule.nextAt());
        ++orders;
    }
    const auto shortest = std::min(limits.retryInterval, limits.renewalInterval);
    cr_assert_leq(orders, playTime / shortest);
    cr_assert_eq(schedule.nextAt() - start > limits.lease, true);
}

Test(lease_schedule, anEngineThatRefusesIsAskedAgainAtTheUsualPace)
{
    const reservation_limits limits = usualLimits();
    lease_schedule schedule(limits, start);
    const time_point sentAt = schedule.nextAt();
    schedule.record(renewal_outcome::refused, sentAt);
    expectEqual((schedule.nextAt() - sentAt).count(), std::chrono::nanoseconds(limits.renewalInterval).count());
}
