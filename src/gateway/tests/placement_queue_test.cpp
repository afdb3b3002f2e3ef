#include "gateway/placement_queue.h"

#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

struct recorder {
    placement_queue queue;
    std::string order;

    placement_queue::ticket add(char name, const queue_priority &priority, bool isPlaced = false)
    {
        return queue.add(priority, [this, name, isPlaced](time_point) {
            order += name;
            return isPlaced;
        });
    }
};

constexpr milliseconds quick{ 300 };
constexpr milliseconds slow{ 3'000 };

} // namespace

Test(placement_queue, triesInOrderOfPriority)
{
    recorder attempted;
    attempted.add('l', { false, quick, at(0) });
    attempted.add('s', { false, slow, at(900) });
    attempted.add('o', { false, quick, at(800) });
    attempted.add('n', { false, quick, at(900) });
    attempted.add('i', { true, quick, at(0) });
    attempted.queue.tryAll(at(1'000));
    expectEqual(attempted.order, "inosl");
}

Test(placement_queue, aPlacedRequestLeavesTheQueue)
{
    recorder attempted;
    attempted.add('a', { false, quick, at(0) }, true);
    attempted.add('b', { false, quick, at(1) });
    attempted.queue.tryAll(at(10));
    attempted.queue.tryAll(at(20));
    expectEqual(attempted.order, "bab");
    expectEqual(attempted.queue.size(), 1U);
}

Test(placement_queue, aRequestMayBeRemovedDuringTryAll)
{
    placement_queue queue;
    placement_queue::ticket second = 0;
    int attempts = 0;
    queue.add({ false, quick, at(10) }, [&](time_point) {
        queue.remove(second);
        return false;
    });
    second = queue.add({ false, quick, at(0) }, [&](time_point) {
        ++attempts;
        return false;
    });
    queue.tryAll(at(20));
    expectEqual(attempts, 0);
}

// Requests arrive at twice the capacity: with the newest first, those that are served are on time.
Test(placement_queue, underOverloadServedRequestsAreOnTime)
{
    placement_queue queue;
    int onTime = 0;
    int served = 0;
    int room = 0;
    constexpr int step = 10;
    for (int now = 0; now < 10'000; now += step) {
        const int arrived = now;
        queue.add({ false, quick, at(now) }, [&, arrived](time_point when) {
            if (room == 0) {
                return when - at(arrived) > 4 * quick;
            }
            --room;
            ++served;
            onTime += when - at(arrived) <= quick ? 1 : 0;
            return true;
        });
        room = now % (2 * step) == 0 ? 1 : 0;
        queue.tryAll(at(now));
    }
    cr_assert_geq(served, 490);
    cr_assert_geq(onTime * 100, served * 95);
}

Test(placement_queue, fewRequestsOfAKindAreTriedBetweenFullRounds)
{
    placement_queue queue;
    unsigned tries = 0;
    for (int count = 0; count < 50; ++count) {
        queue.add({ false, milliseconds(300), at(count) }, [&tries](time_point) {
            ++tries;
            return false;
        });
    }
    queue.add({ false, milliseconds(3'000), at(0) }, [&tries](time_point) {
        ++tries;
        return false;
    });
    queue.tryAll(at(1'000));
    expectEqual(tries, 51U);
    queue.tryAll(at(1'010));
    expectEqual(tries, 51U + placement_queue::failuresPerRound + 1U);
    tries = 0;
    queue.tryAll(at(1'100));
    expectEqual(tries, 51U);
}
