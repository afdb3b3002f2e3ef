// Six sends in a row went through the same two instances, which were cut off themselves and handed each of them back.

#include "gateway/relay_failures.h"
#include "gateway/tests/test_time.h"

#include <criterion/criterion.h>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;

namespace
{

constexpr peer_address relay = 1;
constexpr peer_address other = 2;
const endpoint one{ "10.0.0.1", 80 };
const endpoint two{ "10.0.0.2", 80 };
const endpoint three{ "10.0.0.3", 80 };

} // namespace

Test(relay_failures, anInstanceThatHandsASendBackIsAvoidedForAllServers)
{
    relay_failures failures;
    failures.recordHandedBack(relay, at(0));
    cr_assert(failures.hasFailed(relay, one, at(1)));
    cr_assert(failures.hasFailed(relay, two, at(1)));
    cr_assert_not(failures.hasFailed(other, one, at(1)));
}

Test(relay_failures, anInstanceThatDoesNotReachOneServerIsAvoidedForThatOne)
{
    relay_failures failures;
    failures.recordUnreached(relay, one, at(0));
    failures.recordUnreached(relay, one, at(100));
    cr_assert(failures.hasFailed(relay, one, at(101)));
    cr_assert_not(failures.hasFailed(relay, two, at(101)));
}

Test(relay_failures, anInstanceThatDoesNotReachTwoServersIsAvoidedForAll)
{
    relay_failures failures;
    failures.recordUnreached(relay, one, at(0));
    failures.recordUnreached(relay, two, at(100));
    cr_assert(failures.hasFailed(relay, three, at(101)));
    cr_assert_not(failures.hasFailed(other, three, at(101)));
}

Test(relay_failures, anInstanceIsTriedAgainAfterAWhile)
{
    relay_failures failures;
    failures.recordFailed(other, at(0));
    failures.recordHandedBack(relay, at(0));
    const time_point later = at(0) + relay_failures::avoidance;
    cr_assert_not(failures.hasFailed(relay, one, later));
    cr_assert_not(failures.hasFailed(other, one, later));
}
