#include "gateway/server_suspicion.h"

#include "gateway/server_choice.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr server_key engine = 5;

placement_candidate candidate(server_key key, unsigned requests)
{
    placement_candidate made;
    made.key = key;
    made.slots = 6;
    made.load.requests = requests;
    return made;
}

} // namespace

Test(server_suspicion, suspectsAFailedServerForABackoffThatDoubles)
{
    server_suspicion suspicion;
    suspicion.recordFailure(engine, at(0));
    cr_assert(suspicion.isSuspected(engine, at(499)));
    cr_assert_not(suspicion.isSuspected(engine, at(500)));
    suspicion.recordFailure(engine, at(600));
    cr_assert(suspicion.isSuspected(engine, at(1'599)));
    cr_assert_not(suspicion.isSuspected(engine, at(1'600)));
}

Test(server_suspicion, failuresDuringTheBackoffDoNotCountAgain)
{
    server_suspicion suspicion;
    for (int count = 0; count < 20; ++count) {
        suspicion.recordFailure(engine, at(count));
    }
    cr_assert_not(suspicion.isSuspected(engine, at(600)));
}

Test(server_suspicion, aSuccessClearsTheSuspicion)
{
    server_suspicion suspicion;
    suspicion.recordFailure(engine, at(0));
    suspicion.recordSuccess(engine);
    cr_assert_not(suspicion.isSuspected(engine, at(1)));
}

Test(server_suspicion, suspectsAServerThatTwoOtherInstancesSuspect)
{
    server_suspicion suspicion;
    suspicion.updatePeerSuspects(instance_id("one"), { engine }, at(0));
    cr_assert_not(suspicion.isSuspected(engine, at(10)));
    suspicion.updatePeerSuspects(instance_id("two"), { engine }, at(0));
    cr_assert(suspicion.isSuspected(engine, at(10)));
    cr_assert_not(suspicion.isSuspected(engine, at(1'100)));
    expectEqual(suspicion.ownSuspects(at(10)).size(), 0U);
}

Test(server_suspicion, aServerRespondsWhileItsLastBytesAreRecent)
{
    server_suspicion suspicion;
    suspicion.recordBytes(engine, at(0));
    cr_assert(suspicion.isResponding(engine, at(499)));
    cr_assert_not(suspicion.isResponding(engine, at(501)));
}

Test(service_choice, takesTheLeastLoadedThatIsTrusted)
{
    placement_candidate suspect = candidate(1, 0);
    suspect.isSuspected = true;
    expectEqual(*chooseServer({ suspect, candidate(2, 3), candidate(3, 2) }, 0.5), server_key(3));
    expectEqual(*chooseServer({ suspect }, 0.5), server_key(1));
    cr_assert_not(chooseServer({}, 0.5).has_value());
}

Test(service_choice, spreadsOverEqualServers)
{
    const std::vector<placement_candidate> equal{ candidate(1, 0), candidate(2, 0), candidate(3, 0) };
    expectEqual(*chooseServer(equal, 0.1), server_key(1));
    expectEqual(*chooseServer(equal, 0.5), server_key(2));
    expectEqual(*chooseServer(equal, 0.99), server_key(3));
}
