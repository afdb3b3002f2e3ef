#include "gateway/relay_choice.h"

#include "testing/expect.h"

#include <algorithm>
#include <map>

using namespace mustardtrail::gateway;
using mustardtrail::testing::expectEqual;

namespace
{

std::vector<relay_candidate> instances(peer_address count)
{
    std::vector<relay_candidate> all;
    for (peer_address instance = 1; instance <= count; ++instance) {
        all.push_back({ instance, true, false, false });
    }
    return all;
}

} // namespace

Test(relay_choice, instancesOfTheOwnDataCentreGoFirst)
{
    auto all = instances(6);
    for (size_t far = 0; far < 4; ++far) {
        all[far].isNear = false;
    }
    auto chosen = chooseRelays(all, "10.0.0.1:80", 9);
    std::sort(chosen.begin(), chosen.end());
    cr_assert(chosen == (std::vector<peer_address>{ 5, 6 }));
}

Test(relay_choice, anInstanceThatLostPathsItselfOrFailedIsTheLastResort)
{
    auto all = instances(3);
    all[0].hasLostPaths = true;
    all[1].hasFailed = true;
    all[2].isNear = false;
    const auto chosen = chooseRelays(all, "10.0.0.1:80", 9);
    expectEqual(chosen.size(), maxRelays);
    expectEqual(chosen[0], 3U);
    expectEqual(chosen[1], 1U);
}

Test(relay_choice, theLoadOfInstancesThatAreCutOffSpreadsOverAllOthers)
{
    std::map<peer_address, int> chosen;
    for (peer_address sender = 100; sender < 110; ++sender) {
        for (int server = 0; server < 40; ++server) {
            ++chosen[chooseRelays(instances(8), "10.0.0." + std::to_string(server) + ":80", sender).front()];
        }
    }
    for (const auto &[instance, count] : chosen) {
        cr_assert_geq(count, 25); // Of 50 on average.
        cr_assert_leq(count, 75);
    }
    expectEqual(chosen.size(), size_t{ 8 });
}

Test(relay_choice, noneWithoutOtherInstances)
{
    cr_assert(chooseRelays({}, "10.0.0.1:80", 9).empty());
}
