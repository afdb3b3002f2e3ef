#pragma once

#include "base/ids.h"

#include <vector>

namespace mustardtrail::membership
{

/// Instance that owns the backend server: highest rendezvous weight among the candidates; empty without candidates.
/// A candidate that leaves or joins moves only the servers it had or takes.
instance_id ownerOf(const backend_server_id &server, const std::vector<instance_id> &candidates);

} // namespace mustardtrail::membership
