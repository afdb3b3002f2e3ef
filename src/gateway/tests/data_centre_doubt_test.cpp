#include "gateway/data_centre_doubt.h"

#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;

namespace
{

const data_centre_id far("far");
const data_centre_id near("near");

} // namespace

// Incident inc-480d: at a cut that refuses connections, each request spent its sends on one server there after the other.
Test(data_centre_doubt, severalUnreachableServersInOneMomentMakeTheirDataCentreDoubtful)
{
    data_centre_doubt doubt;
    doubt.unreachable(far, 1, at(0));
    cr_assert_not(doubt.isDoubted(far, at(1)));
    doubt.unreachable(far, 2, at(3));
    cr_assert(doubt.isDoubted(far, at(4)));
    cr_assert_not(doubt.isDoubted(near, at(4)));
    cr_assert_not(doubt.isDoubted(far, at(1'003)));
}

Test(data_centre_doubt, oneServerThatFailsAgainAndAgainSaysNothingOfTheOthers)
{
    data_centre_doubt doubt;
    for (int now = 0; now < 1'000; now += 50) {
        doubt.unreachable(far, 1, at(now));
    }
    cr_assert_not(doubt.isDoubted(far, at(1'000)));
}

Test(data_centre_doubt, failuresFarApartAreNoCut)
{
    data_centre_doubt doubt;
    doubt.unreachable(far, 1, at(0));
    doubt.unreachable(far, 2, at(400));
    cr_assert_not(doubt.isDoubted(far, at(401)));
}

Test(data_centre_doubt, anAnswerEndsTheDoubt)
{
    data_centre_doubt doubt;
    doubt.unreachable(far, 1, at(0));
    doubt.unreachable(far, 2, at(1));
    doubt.heard(far);
    cr_assert_not(doubt.isDoubted(far, at(2)));
    doubt.unreachable(far, 3, at(3));
    cr_assert_not(doubt.isDoubted(far, at(4)));
}
