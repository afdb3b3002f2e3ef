#include "gateway/resend_budget.h"

#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

const service_id reading("reading");
using why = resend_budget::use;

int takeAll(resend_budget &budget, why use, int now, size_t instances)
{
    int taken = 0;
    while (budget.tryTake(reading, use, at(now), instances)) {
        ++taken;
    }
    return taken;
}

} // namespace

Test(resend_budget, dividesTheSlackByTheInstances)
{
    resend_budget budget({ 0.2, milliseconds(10'000), 100.0 });
    expectEqual(takeAll(budget, why::interrupted, 0, 10), 8);
}

Test(resend_budget, allInstancesTogetherStayBelowTheBound)
{
    constexpr int instances = 8;
    constexpr int requests = 50;
    int sent = 0;
    for (int index = 0; index < instances; ++index) {
        resend_budget budget({ 0.2, milliseconds(10'000), 104.0 });
        for (int count = 0; count < requests; ++count) {
            budget.countRequest(reading, at(count));
        }
        sent += takeAll(budget, why::interrupted, 100, instances);
    }
    cr_assert_leq(sent, static_cast<int>(0.2 * instances * requests + 104.0));
}

Test(resend_budget, refusedRequestsLeaveHalfToInterruptedStreams)
{
    resend_budget budget({ 0.2, milliseconds(10'000), 100.0 });
    expectEqual(takeAll(budget, why::refused, 0, 10), 4);
    expectEqual(takeAll(budget, why::interrupted, 0, 10), 4);
}

Test(resend_budget, hasRoomAgainWhenTheWindowHasPassed)
{
    resend_budget budget({ 0.0, milliseconds(10'000), 10.0 });
    cr_assert_gt(takeAll(budget, why::interrupted, 0, 1), 0);
    cr_assert_not(budget.hasRoom(reading, why::interrupted, at(9'000), 1));
    cr_assert(budget.hasRoom(reading, why::interrupted, at(10'001), 1));
}
