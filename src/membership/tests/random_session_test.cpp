#include "tests/random_session.h"

#include "testing/criterion.h"

#include <algorithm>

using namespace mustardtrail::membership;

namespace
{

constexpr std::uint64_t seedsPerTest = 500;

void runSeeds(std::uint64_t first)
{
    for (std::uint64_t seed = first; seed < first + seedsPerTest; ++seed) {
        const auto problems = runRandomSession(seed);
        cr_assert(problems.empty(), "seed %lu: %s", static_cast<unsigned long>(seed), problems.front().c_str());
    }
}

/// True when within some seeds the checker notes the problem that the mechanism is there to prevent.
bool isNoticed(const std::string &problem, const std::function<void(view_settings &)> &switchOff)
{
    constexpr std::uint64_t seeds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto problems = runRandomSession(seed, switchOff);
        if (std::any_of(problems.begin(), problems.end(), [&](const std::string &noted) {
                return noted.starts_with(problem);
            })) {
            return true;
        }
    }
    return false;
}

} // namespace

Test(random_session, keepsItsPromisesFirstSeeds)
{
    runSeeds(1);
}

Test(random_session, keepsItsPromisesSecondSeeds)
{
    runSeeds(1 + seedsPerTest);
}

Test(random_session, keepsItsPromisesThirdSeeds)
{
    runSeeds(1 + 2 * seedsPerTest);
}

Test(random_session, keepsItsPromisesFourthSeeds)
{
    runSeeds(1 + 3 * seedsPerTest);
}

Test(random_session, noticesThatPausesAreNotDetected)
{
    cr_assert(isNoticed("confirmed_before_refresh", [](view_settings &settings) {
        settings.confirmation.detectsPauses = false;
    }));
}

Test(random_session, noticesThatDeathIsNotContradicted)
{
    cr_assert(isNoticed("peer_lost_at_end", [](view_settings &settings) {
        settings.detector.refutation = false;
    }));
}

Test(random_session, noticesThatPeersAreNotAskedForDeltas)
{
    cr_assert(isNoticed("work_to_drained", [](view_settings &settings) {
        settings.asksPeersForDeltas = false;
    }));
}

Test(random_session, noticesThatBadListsAreTaken)
{
    cr_assert(isNoticed("all_servers_stopped", [](view_settings &settings) {
        settings.keepsLastGoodList = false;
    }));
}

Test(random_session, noticesThatDrainsAreIgnored)
{
    cr_assert(isNoticed("work_to_drained", [](view_settings &settings) {
        settings.drains = false;
    }));
}
