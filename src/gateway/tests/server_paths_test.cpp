#include "gateway/server_paths.h"

#include "gateway/tests/test_time.h"
#include "testing/expect.h"

#include <set>
#include <vector>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;

namespace
{

const endpoint first{ "10.0.0.1", 80 };
const endpoint second{ "10.0.0.2", 80 };
const endpoint third{ "10.0.0.3", 80 };

server_paths allLost(int now)
{
    server_paths paths;
    paths.recordLost(first, at(now));
    paths.recordLost(second, at(now + 100));
    return paths;
}

} // namespace

Test(server_paths, aLostPathIsNotUsedAndTheOthersAre)
{
    server_paths paths;
    paths.recordLost(first, at(0));
    cr_assert_not(paths.mayUseOwnPath(first, at(10)));
    cr_assert(paths.mayUseOwnPath(second, at(10)));
    cr_assert_not(paths.areAllLost());
}

Test(server_paths, severalPathsLostTogetherMeanThatAllAre)
{
    server_paths paths = allLost(0);
    cr_assert(paths.areAllLost());
    cr_assert(paths.hasLostPaths());
    cr_assert_not(paths.mayUseOwnPath(third, at(200)));
}

Test(server_paths, pathsLostFarApartAreLostOneByOne)
{
    server_paths paths;
    paths.recordLost(first, at(0));
    paths.recordLost(second, at(1'500));
    cr_assert_not(paths.areAllLost());
    cr_assert(paths.mayUseOwnPath(third, at(1'500)));
}

// A sound server may fall silent for a second or so.
Test(server_paths, silentServersAreNoSignThatAllPathsAreLost)
{
    server_paths paths;
    paths.recordSilent(first, at(-350), at(0));
    cr_assert(paths.recordSilent(second, at(-340), at(10)));
    cr_assert_not(paths.mayUseOwnPath(second, at(20)));
    cr_assert_not(paths.areAllLost());
    cr_assert_not(paths.hasLostPaths());
}

// Each slow answer of a plain service cost its open connections, and a new one to look at the path.
Test(server_paths, oneSlowAnswerIsNoSignThatThePathIsLost)
{
    server_paths paths;
    paths.recordHeard(second, at(100));
    cr_assert_not(paths.recordSilent(first, at(0), at(350)));
    cr_assert(paths.mayUseOwnPath(first, at(350)));
    paths.recordHeard(first, at(500));
    cr_assert_not(paths.recordSilent(first, at(600), at(950)));
    cr_assert(paths.mayUseOwnPath(first, at(950)));
}

Test(server_paths, aServerThatAnswersOthersIsSlowAndNotOutOfReach)
{
    server_paths paths;
    for (int request = 0; request < 5; ++request) {
        const int sentAt = 1'000 * request;
        paths.recordHeard(first, at(sentAt + 100));
        cr_assert_not(paths.recordSilent(first, at(sentAt), at(sentAt + 350)));
    }
    cr_assert(paths.mayUseOwnPath(first, at(5'000)));
}

Test(server_paths, aConnectionThatOpensEndsTheVerdict)
{
    server_paths paths = allLost(0);
    paths.recordConnected(first);
    cr_assert_not(paths.areAllLost());
    cr_assert(paths.mayUseOwnPath(first, at(200)));
    cr_assert(paths.mayUseOwnPath(third, at(200)));
    cr_assert_not(paths.mayUseOwnPath(second, at(200)));
}

Test(server_paths, onePathIsProbedWhileAllAreLostEachTimeAnotherAndLessAndLessOften)
{
    server_paths paths = allLost(0);
    std::vector<int> probedAt;
    std::set<endpoint> probed;
    for (int now = 0; now < 11'000; now += 100) {
        if (const auto probe = paths.takeProbe(at(now))) {
            probedAt.push_back(now);
            probed.insert(*probe);
        }
    }
    cr_assert(probedAt == (std::vector<int>{ 600, 1'600, 3'600, 5'600, 7'600, 9'600 })); // After 0.5, 1, 2, 2, 2 and 2 s.
    expectEqual(probed.size(), size_t{ 2 });
}

Test(server_paths, aPathThatNoRequestWantsIsForgotten)
{
    server_paths paths = allLost(0);
    paths.expire(at(20'000));
    cr_assert(paths.areAllLost());
    paths.expire(at(40'000));
    cr_assert_not(paths.areAllLost());
    cr_assert(paths.mayUseOwnPath(first, at(40'000)));
}

// An instance sent through others for seconds after sound servers had been silent.
Test(server_paths, bytesOfAnyServerEndTheVerdictFromSilence)
{
    server_paths paths;
    paths.recordSilent(first, at(-350), at(0));
    cr_assert(paths.recordSilent(second, at(-340), at(10)));
    paths.recordHeard(third, at(100));
    cr_assert(paths.mayUseOwnPath(second, at(110)));
}

Test(server_paths, aSilenceThatEndedIsNoSignForAnother)
{
    server_paths paths;
    paths.recordSilent(first, at(0), at(350));
    paths.recordHeard(third, at(400));
    cr_assert_not(paths.recordSilent(second, at(500), at(850)));
    cr_assert(paths.mayUseOwnPath(second, at(860)));
}

// Open connections may live on while new ones are refused, so bytes alone do not show that a server can be reached.
Test(server_paths, bytesOfAServerDoNotEndTheVerdictThatAllAreLost)
{
    server_paths paths = allLost(0);
    paths.recordHeard(third, at(200));
    cr_assert(paths.areAllLost());
    cr_assert_not(paths.mayUseOwnPath(third, at(210)));
}

Test(server_paths, aVerdictIsTestedSoonWhileServersAreHeard)
{
    server_paths paths = allLost(0);
    time_point now = at(0);
    for (int probes = 0; probes < 4; now += std::chrono::milliseconds(100)) {
        probes += paths.takeProbe(now) ? 1 : 0;
    }
    cr_assert_not(paths.takeProbe(now + server_paths::firstProbeDelay).has_value());
    paths.recordHeard(third, now);
    cr_assert(paths.takeProbe(now + server_paths::firstProbeDelay).has_value());
}

Test(server_paths, bytesOfAServerEndTheLossOfItsPath)
{
    server_paths paths;
    paths.recordLost(first, at(0));
    paths.recordHeard(first, at(200));
    cr_assert(paths.mayUseOwnPath(first, at(210)));
}

// After a long cut an instance sent through others for longer than the sites allow.
Test(server_paths, aPathIsProbedWithinThreeSecondsOfTheEndOfItsCut)
{
    constexpr int limit = 3'000 - 500; // Less a failing probe and the time between two looks.
    server_paths lostAlone;
    lostAlone.recordLost(first, at(0));
    server_paths lostTogether = allLost(0);
    for (server_paths *paths : { &lostAlone, &lostTogether }) {
        int last = 0;
        for (int now = 0; now < 30'000; now += 100) {
            if (paths->takeProbe(at(now))) {
                cr_assert_leq(now - last, limit);
                last = now;
            }
        }
    }
}
