#include "gateway/relay_choice.h"

#include "base/hash.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace mustardtrail::gateway
{

namespace
{

/// Instances of some data centres, by whether they reach the backend servers.
struct path_count {
    double sound = 0;
    double lost = 0;
};

double shareOfFarRelays(const std::vector<relay_candidate> &candidates)
{
    path_count near{ 0, 1 }; // This instance needs one.
    path_count far;
    for (const relay_candidate &each : candidates) {
        path_count &group = each.isNear ? near : far;
        (each.hasLostPaths ? group.lost : group.sound) += 1;
    }
    const double excess = std::max(0.0, near.lost - maxSendersPerRelay * near.sound);
    const double room = std::max(0.0, maxSendersPerRelay * far.sound - far.lost);
    return std::min(excess, room) / near.lost;
}

double unitFrom(std::uint64_t hash)
{
    return static_cast<double>(hash) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

std::vector<peer_address> chooseRelays(
    const std::vector<relay_candidate> &candidates, const std::string &server, peer_address sender, relay_spread spread)
{
    const std::string key = server + ' ' + std::to_string(sender);
    const bool prefersFar = unitFrom(rendezvousWeight(key, "far")) < shareOfFarRelays(candidates);
    std::vector<std::pair<std::tuple<bool, bool, bool, bool, std::uint64_t>, relay_candidate>> ranked; // Best first.
    for (const relay_candidate &each : candidates) {
        const std::uint64_t weight = rendezvousWeight(key, std::to_string(each.instance));
        ranked.push_back({ { each.hasFailed, !each.hasHeardServer, each.hasLostPaths, each.isNear == prefersFar, ~weight }, each });
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return std::tie(left.first, left.second.instance) < std::tie(right.first, right.second.instance);
    });
    if (spread == relay_spread::across && ranked.size() > 1) {
        const auto second = std::next(ranked.begin());
        const auto elsewhere = std::find_if(second, ranked.end(), [first = ranked.front().second](const auto &entry) {
            const relay_candidate &each = entry.second;
            return each.isNear != first.isNear && !each.hasFailed && !each.hasLostPaths;
        });
        if (elsewhere != ranked.end()) {
            std::rotate(second, elsewhere, std::next(elsewhere));
        }
    }
    std::vector<peer_address> chosen;
    for (size_t index = 0; index < std::min(ranked.size(), maxRelays); ++index) {
        chosen.push_back(ranked[index].second.instance);
    }
    return chosen;
}

} // namespace mustardtrail::gateway
