#include "gateway/relay_choice.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>

namespace mustardtrail::gateway
{

std::vector<peer_address> chooseRelays(const std::vector<relay_candidate> &candidates, const std::string &server, peer_address sender)
{
    const std::string key = server + ' ' + std::to_string(sender);
    std::vector<std::tuple<bool, bool, bool, std::uint64_t, peer_address>> ranked; // Best first.
    for (const relay_candidate &each : candidates) {
        const std::uint64_t weight = rendezvousWeight(key, std::to_string(each.instance));
        ranked.emplace_back(each.hasFailed, each.hasLostPaths, !each.isNear, ~weight, each.instance);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<peer_address> chosen;
    for (size_t index = 0; index < std::min(ranked.size(), maxRelays); ++index) {
        chosen.push_back(std::get<peer_address>(ranked[index]));
    }
    return chosen;
}

} // namespace mustardtrail::gateway
