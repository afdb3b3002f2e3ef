#include "gateway/unanswered_orders.h"

#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using std::chrono::milliseconds;

namespace
{

constexpr server_key engine = 7;
constexpr milliseconds limit{ 300 };

/// The record after an order that was sent at 0 ms and ended then.
unanswered_orders ordersAfter(std::optional<error_code> failure, int endedAt)
{
    unanswered_orders orders;
    orders.record(engine, failure, at(0), limit, at(endedAt));
    return orders;
}

} // namespace

Test(unanswered_orders, markAnEngineAsSilentForAMoment)
{
    const unanswered_orders orders = ordersAfter(error_code::backend_timeout, 301);
    cr_assert(orders.isSilent(engine, at(800)));
    cr_assert_not(orders.isSilent(engine + 1, at(800)));
    cr_assert_not(orders.isSilent(engine, at(301) + unanswered_orders::maxAge));
}

Test(unanswered_orders, anAnswerEndsTheSilence)
{
    unanswered_orders orders = ordersAfter(error_code::backend_timeout, 301);
    orders.record(engine, std::nullopt, at(320), limit, at(330));
    cr_assert_not(orders.isSilent(engine, at(340)));
}

// All helpers were left out for a second after the instance itself had lost its paths or stood still.
Test(unanswered_orders, whatTheInstanceItselfCausedSaysNothingOfTheEngine)
{
    cr_assert_not(ordersAfter(error_code::backend_connect_failed, 301).isSilent(engine, at(310)));
    cr_assert_not(ordersAfter(error_code::backend_connection_lost, 20).isSilent(engine, at(30)));
    cr_assert_not(ordersAfter(error_code::backend_timeout, 500).isSilent(engine, at(510)));
}
