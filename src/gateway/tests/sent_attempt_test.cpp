#include "gateway/sent_attempt.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;

Test(sent_attempt, needsANewConnectionToAServerThatMayHaveSeenIt)
{
    sent_attempt attempt(attempt_id("a"));
    cr_assert_not(attempt.recordSend({ "10.0.0.1", 80 }));
    cr_assert_not(attempt.recordSend({ "10.0.0.2", 80 }));
    cr_assert(attempt.recordSend({ "10.0.0.1", 80 }));
}

Test(sent_attempt, withoutAnIdNeedsANewConnectionAtOnce)
{
    sent_attempt attempt{ attempt_id() };
    cr_assert(attempt.recordSend({ "10.0.0.1", 80 }));
}

// The second send of a stream went over a connection that was lost in the same moment as the first one.
Test(sent_attempt, needsANewConnectionAfterALostOne)
{
    sent_attempt attempt(attempt_id("a1"));
    cr_assert_not(attempt.recordSend({ "10.0.0.1", 80 }));
    cr_assert_not(attempt.recordSend({ "10.0.0.2", 80 }));
    attempt.recordLoss();
    cr_assert(attempt.recordSend({ "10.0.0.3", 80 }));
}
