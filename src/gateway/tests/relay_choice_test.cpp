#include "gateway/relay_choice.h"

#include "testing/expect.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

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

constexpr peer_address instancesPerDataCentre = 22;
constexpr peer_address dataCentres = 3;

peer_address dataCentreOf(peer_address instance)
{
    return instance / instancesPerDataCentre;
}

/// What each instance carries for others, as a multiple of one instance's load, where the instances in `cut` have lost their paths.
std::map<peer_address, double> loadOfRelays(const std::set<peer_address> &cut)
{
    constexpr int servers = 54;
    std::map<peer_address, double> load;
    for (const peer_address sender : cut) {
        std::vector<relay_candidate> others;
        for (peer_address each = 0; each < dataCentres * instancesPerDataCentre; ++each) {
            if (each != sender) {
                others.push_back({ each, dataCentreOf(each) == dataCentreOf(sender), cut.contains(each), false });
            }
        }
        for (int server = 0; server < servers; ++server) {
            load[chooseRelays(others, "10.0.0." + std::to_string(server) + ":80", sender).front()] += 1.0 / servers;
        }
    }
    return load;
}

double greatestOf(const std::map<peer_address, double> &load)
{
    double greatest = 0;
    for (const auto &[instance, carried] : load) {
        greatest = std::max(greatest, carried);
    }
    return greatest;
}

} // namespace

// All instances of a data centre that were cut off sent through the one beside them that was not.
Test(relay_choice, theLastInstanceOfADataCentreWithPathsDoesNotCarryAllOthers)
{
    for (peer_address sound = 1; sound <= 4; ++sound) {
        std::set<peer_address> cut;
        for (peer_address each = sound; each < instancesPerDataCentre; ++each) {
            cut.insert(each);
        }
        cr_assert_leq(greatestOf(loadOfRelays(cut)), 2 * maxSendersPerRelay, "%u left", sound);
    }
}

Test(relay_choice, nothingIsSentThroughAnotherDataCentreWhileHalfOfTheOwnOneHasPaths)
{
    std::set<peer_address> cut;
    for (peer_address each = 0; each < instancesPerDataCentre / 2; ++each) {
        cut.insert(each);
    }
    for (const auto &[relay, carried] : loadOfRelays(cut)) {
        expectEqual(dataCentreOf(relay), 0U);
    }
}

Test(relay_choice, whereMostAreCutOffEverywhereTheLoadStaysInItsDataCentre)
{
    std::set<peer_address> cut;
    for (peer_address each = 0; each < dataCentres * instancesPerDataCentre; ++each) {
        if (each % instancesPerDataCentre >= 4) {
            cut.insert(each);
        }
    }
    cr_assert_leq(greatestOf(loadOfRelays(cut)), 1.5 * 18 / 4);
}

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

// All instances of a data centre were cut off, and both relays of each send were among them until the request was given up.
Test(relay_choice, theSecondRelayIsInAnotherDataCentreWhileNobodyKnowsHowFarACutReaches)
{
    auto all = instances(6);
    all[0].isNear = all[1].isNear = false;
    for (int server = 0; server < 20; ++server) {
        const auto chosen = chooseRelays(all, "10.0.0." + std::to_string(server) + ":80", 9, relay_spread::across);
        expectEqual(chosen.size(), maxRelays);
        cr_assert_gt(chosen[0], 2U);
        cr_assert_leq(chosen[1], 2U);
    }
}

Test(relay_choice, aRelayElsewhereThatIsCutOffOrFailedIsNoSecondOne)
{
    auto all = instances(4);
    all[0].isNear = all[1].isNear = false;
    all[0].hasLostPaths = true;
    all[1].hasFailed = true;
    cr_assert_gt(chooseRelays(all, "10.0.0.1:80", 9, relay_spread::across)[1], 2U);
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
