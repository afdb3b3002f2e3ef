#include "gateway/store_duty.h"

#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using std::chrono::milliseconds;

namespace
{

constexpr peer_address self = 5;
constexpr milliseconds silence{ 1'200 };

} // namespace

Test(store_duty, asksAsLongAsNoOtherInstanceReads)
{
    const store_duty duty(self, silence);
    cr_assert(duty.askAt(at(0)) == at(0));
    cr_assert(duty.askAt(at(10'000)) == at(10'000));
}

Test(store_duty, theLowestAddressReadsForItsDataCentre)
{
    store_duty duty(self, silence);
    duty.heardRelay(7, at(0));
    cr_assert(duty.askAt(at(1)) == at(1));
    duty.heardRelay(3, at(0));
    cr_assert(duty.askAt(at(1)) > at(1));
}

Test(store_duty, takesOverFromAReaderThatFallsSilent)
{
    store_duty duty(self, silence);
    duty.heardRelay(3, at(0));
    duty.heardRelay(3, at(1'000));
    cr_assert(duty.askAt(at(2'199)) > at(2'199));
    cr_assert(duty.askAt(at(2'200)) == at(2'200));
    cr_assert(duty.askAt(at(1'500)) == at(2'200));
}

// The store turns this instance away and serves one with a higher address.
Test(store_duty, anInstanceThatTheStoreDoesNotAnswerFollowsAnyOther)
{
    store_duty duty(self, silence);
    duty.asked(false);
    duty.heardRelay(9, at(0));
    cr_assert(duty.askAt(at(1'000)) > at(1'000));
    cr_assert(duty.askAt(at(1'200)) == at(1'200));
}

Test(store_duty, waitsForTheRepairOfChangesThatItMissed)
{
    store_duty duty(self, silence);
    duty.heardRelay(3, at(0));
    duty.missedChanges(true, at(100));
    duty.missedChanges(true, at(300));
    cr_assert(duty.askAt(at(300)) == at(600));
    duty.caughtUp();
    cr_assert(duty.askAt(at(300)) == at(1'200));
}

Test(store_duty, asksAtOnceForChangesThatNobodyRepeats)
{
    store_duty duty(self, silence);
    duty.heardRelay(3, at(0));
    duty.missedChanges(false, at(100));
    cr_assert(duty.askAt(at(101)) == at(101));
    duty.asked(true);
    cr_assert(duty.askAt(at(102)) > at(102));
}

// The store turns this instance away, so that only a repair can help; relays that go on must not keep it from asking.
Test(store_duty, keepsAskingWhileItIsBehindAndUnanswered)
{
    store_duty duty(self, silence);
    duty.asked(false);
    duty.missedChanges(true, at(0));
    duty.heardRelay(9, at(900));
    cr_assert(duty.askAt(at(1'000)) == at(1'000));
}
