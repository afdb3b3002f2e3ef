#include "gateway/fleet_state.h"

namespace mustardtrail::gateway
{

void fleet_state::recordLostPath(const endpoint &server, time_point now)
{
    const bool wereAllLost = paths.areAllLost();
    paths.recordLost(server, now);
    if (!wereAllLost && paths.areAllLost()) {
        // What failed lately was reached over paths that are lost.
        serverSuspicion.forgetOwnFailures();
        m_log("server_paths_lost", toString(server), {});
    }
}

std::vector<relay_candidate> fleet_state::relayCandidates(time_point now) const
{
    auto candidates = peers.relayCandidates(now);
    for (relay_candidate &each : candidates) {
        each.hasLostPaths = each.hasLostPaths || quarantine.hasLostSeveral(each.instance, now);
    }
    return candidates;
}

} // namespace mustardtrail::gateway
