#include "base/hash.h"
#include "gateway/fleet_state.h"

namespace mustardtrail::gateway
{

// Without a published delay of an own link, all engines count as equally near.
void fleet_state::setLink(placement_candidate &candidate, const listed_server &server) const
{
    const route_table *naming = latestNaming(server.service);
    const service_profile *profile = naming ? naming->profileOf(server.service) : nullptr;
    if (!profile || !profile->links.hasLinkOf(m_ownDataCentre)) {
        return;
    }
    candidate.dataCentre = hash64(server.dataCentre.str());
    candidate.isInOwnDataCentre = server.dataCentre == m_ownDataCentre;
    candidate.linkDelay = profile->links.between(m_ownDataCentre, server.dataCentre);
}

} // namespace mustardtrail::gateway
