#include "gateway/data_centre_suspicion.h"

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

// Guards against incident inc-480d: in a network partition that refused connections, each request used up its sends on one
// unreachable server of the data centre after another.
Test(data_centre_suspicion, suspectsADataCentreWithSeveralUnreachableServersWithinTheWindow)
{
    data_centre_suspicion suspicion;
    suspicion.recordUnreachable(far, 1, at(0));
    cr_assert_not(suspicion.isSuspected(far, at(1)));
    suspicion.recordUnreachable(far, 2, at(3));
    cr_assert(suspicion.isSuspected(far, at(4)));
    cr_assert_not(suspicion.isSuspected(near, at(4)));
    cr_assert_not(suspicion.isSuspected(far, at(1'003)));
}

Test(data_centre_suspicion, repeatedFailuresOfOneServerDoNotRaiseASuspicion)
{
    data_centre_suspicion suspicion;
    for (int now = 0; now < 1'000; now += 50) {
        suspicion.recordUnreachable(far, 1, at(now));
    }
    cr_assert_not(suspicion.isSuspected(far, at(1'000)));
}

Test(data_centre_suspicion, failuresOutsideTheWindowDoNotCountTogether)
{
    data_centre_suspicion suspicion;
    suspicion.recordUnreachable(far, 1, at(0));
    suspicion.recordUnreachable(far, 2, at(400));
    cr_assert_not(suspicion.isSuspected(far, at(401)));
}

Test(data_centre_suspicion, anAnswerClearsTheSuspicion)
{
    data_centre_suspicion suspicion;
    suspicion.recordUnreachable(far, 1, at(0));
    suspicion.recordUnreachable(far, 2, at(1));
    suspicion.recordAnswer(far);
    cr_assert_not(suspicion.isSuspected(far, at(2)));
    suspicion.recordUnreachable(far, 3, at(3));
    cr_assert_not(suspicion.isSuspected(far, at(4)));
}
