#include "gateway/server_choice.h"

#include <algorithm>
#include <tuple>

namespace mustardtrail::gateway
{

bool hasFreeSlot(const placement_candidate &candidate)
{
    return !candidate.isSuspected && !candidate.isAtColdLimit && !candidate.isAtRateLimit && candidate.load.requests < candidate.slots;
}

std::optional<server_key> chooseServer(const std::vector<placement_candidate> &candidates, double point)
{
    const auto rank = [](const placement_candidate &each) {
        return std::tuple(each.isSuspected || each.isAtColdLimit, each.load.requests >= each.slots, each.load.requests);
    };
    std::vector<const placement_candidate *> best;
    for (const placement_candidate &each : candidates) {
        if (each.isAtRateLimit || (!best.empty() && rank(each) > rank(*best.front()))) {
            continue;
        }
        if (!best.empty() && rank(each) < rank(*best.front())) {
            best.clear();
        }
        best.push_back(&each);
    }
    if (best.empty()) {
        return std::nullopt;
    }
    const auto index = static_cast<size_t>(point * static_cast<double>(best.size()));
    return best[std::min(index, best.size() - 1)]->key;
}

} // namespace mustardtrail::gateway
