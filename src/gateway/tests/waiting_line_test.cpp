#include "gateway/waiting_line.h"

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
    waiting_line line;
    std::string order;

    waiting_line::ticket add(char name, const waiting_rank &rank, bool leaves = false)
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

Test(waiting_line, looksInOrderOfUrgency)
{
    recorder seen;
    seen.add('l', { false, quick, at(0) });
    seen.add('s', { false, slow, at(900) });
    seen.add('o', { false, quick, at(800) });
    seen.add('n', { false, quick, at(900) });
    seen.add('i', { true, quick, at(0) });
    seen.line.lookAll(at(1'000));
    expectEqual(seen.order, "inosl");
}

Test(waiting_line, whatHasItsPlaceLeavesTheLine)
{
    recorder seen;
    seen.add('a', { false, quick, at(0) }, true);
    seen.add('b', { false, quick, at(1) });
    seen.line.lookAll(at(10));
    seen.line.lookAll(at(20));
    expectEqual(seen.order, "bab");
    expectEqual(seen.line.size(), 1U);
}

Test(waiting_line, aRequestMayLeaveWhileTheLineIsLookedAt)
{
    waiting_line line;
    waiting_line::ticket second = 0;
    int looks = 0;
    line.add({ false, quick, at(10) }, [&](time_point) {
        line.remove(second);
        return false;
    });
    second = line.add({ false, quick, at(0) }, [&](time_point) {
        ++looks;
        return false;
    });
    line.lookAll(at(20));
    expectEqual(looks, 0);
}

// Twice as many quick requests as there is room for: with the newest first those that are served are on time.
Test(waiting_line, underOverloadWhatIsServedIsOnTime)
{
    waiting_line line;
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
        line.lookAll(at(now));
    }
    cr_assert_geq(served, 490);
    cr_assert_geq(onTime * 100, served * 95);
}
