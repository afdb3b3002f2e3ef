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
    placement_queue line;
    std::string order;

    placement_queue::ticket add(char name, const queue_priority &rank, bool leaves = false)
    {
        return line.add(rank, [this, name, leaves](time_point) {
            order += name;
            return leaves;
        });
    }
};

constexpr milliseconds quick{ 300 };
constexpr milliseconds slow{ 3'000 };

} // namespace

Test(placement_queue, looksInOrderOfUrgency)
{
    recorder seen;
    seen.add('l', { false, quick, at(0) });
    seen.add('s', { false, slow, at(900) });
    seen.add('o', { false, quick, at(800) });
    seen.add('n', { false, quick, at(900) });
    seen.add('i', { true, quick, at(0) });
    seen.line.tryAll(at(1'000));
    expectEqual(seen.order, "inosl");
}

Test(placement_queue, whatHasItsPlaceLeavesTheLine)
{
    recorder seen;
    seen.add('a', { false, quick, at(0) }, true);
    seen.add('b', { false, quick, at(1) });
    seen.line.tryAll(at(10));
    seen.line.tryAll(at(20));
    expectEqual(seen.order, "bab");
    expectEqual(seen.line.size(), 1U);
}

Test(placement_queue, aRequestMayLeaveWhileTheLineIsLookedAt)
{
    placement_queue line;
    placement_queue::ticket second = 0;
    int looks = 0;
    line.add({ false, quick, at(10) }, [&](time_point) {
        line.remove(second);
        return false;
    });
    second = line.add({ false, quick, at(0) }, [&](time_point) {
        ++looks;
        return false;
    });
    line.tryAll(at(20));
    expectEqual(looks, 0);
}

// Twice as many quick requests as there is room for: with the newest first those that are served are on time.
Test(placement_queue, underOverloadWhatIsServedIsOnTime)
{
    placement_queue line;
    int onTime = 0;
    int served = 0;
    int room = 0;
    constexpr int step = 10;
    for (int now = 0; now < 10'000; now += step) {
        const int arrived = now;
        line.add({ false, quick, at(now) }, [&, arrived](time_point when) {
            if (room == 0) {
                return when - at(arrived) > 4 * quick;
            }
            --room;
            ++served;
            onTime += when - at(arrived) <= quick ? 1 : 0;
            return true;
        });
        room = now % (2 * step) == 0 ? 1 : 0;
        line.tryAll(at(now));
    }
    cr_assert_geq(served, 490);
    cr_assert_geq(onTime * 100, served * 95);
}
