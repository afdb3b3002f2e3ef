#include "membership/internal/member.h"

namespace mustardtrail::membership
{

void adoptEndpoints(peer &known, const peer &told)
{
    if (!told.requests.address.empty()) {
        known.requests = told.requests;
    }
    if (!told.heartbeats.address.empty()) {
        known.heartbeats = told.heartbeats;
    }
}

} // namespace mustardtrail::membership
