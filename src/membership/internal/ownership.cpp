#include "membership/ownership.h"

#include "base/hash.h"

namespace mustardtrail::membership
{

instance_id ownerOf(const backend_server_id &server, const std::vector<instance_id> &candidates)
{
    const instance_id *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const instance_id &candidate : candidates) {
        const std::uint64_t weight = rendezvousWeight(server.str(), candidate.str());
        const bool wins = best == nullptr || weight > bestWeight || (weight == bestWeight && candidate < *best);
        if (wins) {
            best = &candidate;
            bestWeight = weight;
        }
    }
    return best == nullptr ? instance_id() : *best;
}

} // namespace mustardtrail::membership
