#include "gateway/unanswered_orders.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using std::chrono::milliseconds;

Test(unanswered_orders, markAnEngineAsSilentForAMoment)
{
    constexpr server_key engine = 7;
    unanswered_orders orders;
    const time_point start{};
    cr_assert_not(orders.isSilent(engine, start));
    orders.recordUnanswered(engine, start);
    cr_assert(orders.isSilent(engine, start + milliseconds(500)));
    cr_assert_not(orders.isSilent(engine + 1, start + milliseconds(500)));
    cr_assert_not(orders.isSilent(engine, start + unanswered_orders::maxAge));
}

Test(unanswered_orders, anAnswerEndsTheSilence)
{
    constexpr server_key engine = 7;
    unanswered_orders orders;
    const time_point start{};
    orders.recordUnanswered(engine, start);
    orders.recordAnswered(engine);
    cr_assert_not(orders.isSilent(engine, start));
}
