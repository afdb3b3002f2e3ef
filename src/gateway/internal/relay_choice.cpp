#include "gateway/relay_choice.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>

namespace mustardtrail::gateway
{

std::vector<peer_address> chooseRelays(std::vector<relay_candidate> candidates, const std::string &server, peer_address sender)
{
    const std::string key = server + ' ' + std::to_string(sender);
    const auto rank = [&key](const relay_candidate &each) {
        const std::uint64_t weight = rendezvousWeight(key, std::to_string(each.instance));
        return std::tuple(each.hasFailed, each.hasLostPaths, !each.isNear, ~weight);
    };
    std::sort(candidates.begin(), candidates.end(), [&rank](const relay_candidate &left, const relay_candidate &right) {
        return rank(left) < rank(right);
    });
    std::vector<peer_address> chosen;
    for (const relay_candidate &each : candidates) {
        if (chosen.size() < maxRelays) {
            chosen.push_back(each.instance);
        }
    }
    return chosen;
}

} // namespace mustardtrail::gateway
