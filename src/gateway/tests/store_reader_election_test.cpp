#include "gateway/store_reader_election.h"

#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using std::chrono::milliseconds;

namespace
{

constexpr peer_address self = 5;
constexpr milliseconds relayTimeout{ 1'200 };

} // namespace

Test(store_reader_election, readsWhileNoOtherInstanceRelays)
{
    const store_reader_election election(self, relayTimeout);
    cr_assert(election.nextReadAt(at(0)) == at(0));
    cr_assert(election.nextReadAt(at(10'000)) == at(10'000));
}

Test(store_reader_election, theLowestAddressReads)
{
    store_reader_election election(self, relayTimeout);
    election.recordRelay(7, at(0));
    cr_assert(election.nextReadAt(at(1)) == at(1));
    election.recordRelay(3, at(0));
    cr_assert(election.nextReadAt(at(1)) > at(1));
}

Test(store_reader_election, takesOverFromAReaderThatTimedOut)
{
    store_reader_election election(self, relayTimeout);
    election.recordRelay(3, at(0));
    election.recordRelay(3, at(1'000));
    cr_assert(election.nextReadAt(at(2'199)) > at(2'199));
    cr_assert(election.nextReadAt(at(2'200)) == at(2'200));
    cr_assert(election.nextReadAt(at(1'500)) == at(2'200));
}

// The store refuses this instance and serves one with a higher address.
Test(store_reader_election, anInstanceWithoutStoreAccessDefersToAnyReader)
{
    store_reader_election election(self, relayTimeout);
    election.recordReadResult(false);
    election.recordRelay(9, at(0));
    cr_assert(election.nextReadAt(at(1'000)) > at(1'000));
    cr_assert(election.nextReadAt(at(1'200)) == at(1'200));
}

Test(store_reader_election, waitsForMissedChangesToBeResent)
{
    store_reader_election election(self, relayTimeout);
    election.recordRelay(3, at(0));
    election.recordMissedChanges(true, at(100));
    election.recordMissedChanges(true, at(300));
    cr_assert(election.nextReadAt(at(300)) == at(600));
    election.recordCaughtUp();
    cr_assert(election.nextReadAt(at(300)) == at(1'200));
}

Test(store_reader_election, readsAtOnceWhenMissedChangesAreNotResent)
{
    store_reader_election election(self, relayTimeout);
    election.recordRelay(3, at(0));
    election.recordMissedChanges(false, at(100));
    cr_assert(election.nextReadAt(at(101)) == at(101));
    election.recordReadResult(true);
    cr_assert(election.nextReadAt(at(102)) > at(102));
}

// The store refuses this instance, so it depends on resent changes. Further relays must not keep it from reading the store.
Test(store_reader_election, readsWhileBehindEvenIfOthersRelay)
{
    store_reader_election election(self, relayTimeout);
    election.recordReadResult(false);
    election.recordMissedChanges(true, at(0));
    election.recordRelay(9, at(900));
    cr_assert(election.nextReadAt(at(1'000)) == at(1'000));
}
