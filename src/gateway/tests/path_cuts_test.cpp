// Schedules of cuts between instances and servers, on a fake clock: who is served, and how many attempts that takes.

#include "base/random_source.h"
#include "gateway/path_plan.h"
#include "gateway/relay_choice.h"
#include "gateway/server_paths.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

#include <set>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;

namespace
{

constexpr int reportInterval = 300;
constexpr int avoidance = 1'000; // Of a way that failed, as in server_client.

struct cut_fleet {
    cut_fleet(size_t instanceCount, size_t serverCount, std::uint64_t seed)
        : paths(instanceCount)
        , reported(instanceCount, false)
        , isCut(instanceCount, std::vector<bool>(serverCount, false))
        , random(seed)
    {
        for (size_t server = 0; server < serverCount; ++server) {
            servers.push_back({ "10.0.0." + std::to_string(server), 80 });
        }
    }

    /// Returns whether the request reached the server.
    bool request(size_t instance, size_t server, int now)
    {
        const time_point moment = at(now);
        path_plan plan(paths[instance].mayUseOwnPath(servers[server], moment), [&] {
            return relays(instance, server, now);
        });
        bool hasOwnPathFailed = false;
        attempts = 0;
        while (const auto way = plan.next()) {
            ++attempts;
            const size_t sender = way->relay ? *way->relay - 1 : instance;
            const bool isReached = !isCut[sender][server];
            if (isReached && !way->relay) {
                paths[instance].recordConnected(servers[server]);
            }
            if (isReached && way->relay && hasOwnPathFailed) {
                paths[instance].recordLost(servers[server], moment);
            }
            if (isReached) {
                return true;
            }
            if (way->relay) {
                avoidedUntil[{ instance, sender, server }] = now + avoidance;
            }
            hasOwnPathFailed = hasOwnPathFailed || !way->relay;
        }
        return false;
    }

    std::vector<peer_address> relays(size_t instance, size_t server, int now)
    {
        std::vector<relay_candidate> candidates;
        for (size_t other = 0; other < paths.size(); ++other) {
            if (other != instance) {
                const auto avoided = avoidedUntil.find({ instance, other, server });
                const bool hasFailed = avoided != avoidedUntil.end() && now < avoided->second;
                candidates.push_back({ static_cast<peer_address>(other + 1), other % 3 == instance % 3, reported[other], hasFailed });
            }
        }
        return chooseRelays(candidates, toString(servers[server]), static_cast<peer_address>(instance + 1));
    }

    /// What happens beside the requests: reports and probes.
    void tick(int now)
    {
        for (size_t instance = 0; instance < paths.size(); ++instance) {
            if (now % reportInterval == 0) {
                reported[instance] = paths[instance].hasLostPaths();
            }
            if (const auto probe = paths[instance].takeProbe(at(now))) {
                ++probes;
                for (size_t server = 0; server < servers.size(); ++server) {
                    if (servers[server] == *probe && !isCut[instance][server]) {
                        paths[instance].recordConnected(*probe);
                    }
                }
            }
            paths[instance].expire(at(now));
        }
    }

    std::vector<server_paths> paths;
    std::vector<bool> reported;
    std::vector<std::vector<bool>> isCut; ///< By instance and server.
    std::vector<endpoint> servers;
    std::map<std::tuple<size_t, size_t, size_t>, int> avoidedUntil;
    random_source random;
    size_t attempts = 0; ///< Of the last request.
    int probes = 0;
};

struct cut_outcome {
    int requests = 0;
    int served = 0;
    int probes = 0;
    size_t mostAttempts = 0;
};

/// Instances lose all servers at 1 s, until 13 s; requests of all instances from 4 s, `contact_ms` after the cut began.
cut_outcome playCut(size_t instances, size_t servers, size_t cutOff, std::uint64_t seed)
{
    cut_fleet fleet(instances, servers, seed);
    cut_outcome outcome;
    for (int now = 0; now < 13'000; now += 20) {
        for (size_t cut = 0; now == 1'000 && cut < cutOff; ++cut) {
            fleet.isCut[cut].assign(servers, true);
        }
        fleet.tick(now);
        const size_t instance = fleet.random.below(instances);
        const bool isServed = fleet.request(instance, fleet.random.below(servers), now);
        if (now >= 4'000) {
            ++outcome.requests;
            outcome.served += isServed ? 1 : 0;
            outcome.mostAttempts = std::max(outcome.mostAttempts, fleet.attempts);
        }
    }
    outcome.probes = fleet.probes;
    return outcome;
}

} // namespace

Test(path_cuts, allRequestsAreServedWhileAnyInstanceReachesTheServers)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const size_t cutOff : { 1UL, 3UL, 5UL, 7UL }) {
            const cut_outcome outcome = playCut(8, 19, cutOff, seed);
            cr_assert_eq(
                outcome.served, outcome.requests, "%zu cut off, seed %lu: %d of %d served", cutOff, seed, outcome.served, outcome.requests);
        }
    }
}

Test(path_cuts, aFleetOfManyInstancesIsServedTooAndProbesAreFew)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const cut_outcome outcome = playCut(66, 57, 33, seed);
        cr_assert_geq(outcome.served * 50, outcome.requests * 49);
        cr_assert_leq(outcome.probes, 33 * 12 * 3); // Three a second for each instance that is cut off.
    }
}

Test(path_cuts, noRequestTriesMoreThanItsPathAndTwoOthers)
{
    cr_assert_leq(playCut(8, 19, 5, 1).mostAttempts, maxRelays + 1);
    cr_assert_leq(playCut(8, 19, 8, 1).mostAttempts, maxRelays + 1);
}

Test(path_cuts, ownPathsAreUsedAgainSoonAfterACut)
{
    cut_fleet fleet(8, 19, 3);
    for (int now = 0; now < 25'000; now += 20) {
        const bool isCut = now >= 1'000 && now < 13'000;
        fleet.isCut[0].assign(19, isCut);
        fleet.tick(now);
        fleet.request(0, fleet.random.below(19), now);
    }
    for (const endpoint &server : fleet.servers) {
        cr_assert(fleet.paths[0].mayUseOwnPath(server, at(25'000)));
    }
}

// Each server is out of reach for some of the instances, none for all.
Test(path_cuts, pathsThatAreLostHereAndThereAreMadeUpFor)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        cut_fleet fleet(8, 19, seed);
        int late = 0;
        int served = 0;
        for (size_t server = 0; server < 19; ++server) {
            for (size_t cut = 0; cut < 4; ++cut) {
                fleet.isCut[fleet.random.below(8)][server] = true;
            }
        }
        for (int now = 0; now < 13'000; now += 20) {
            fleet.tick(now);
            const bool isServed = fleet.request(fleet.random.below(8), fleet.random.below(19), now);
            late += now >= 4'000 ? 1 : 0;
            served += now >= 4'000 && isServed ? 1 : 0;
        }
        cr_assert_geq(served * 50, late * 45, "seed %lu: %d of %d served", seed, served, late);
    }
}
