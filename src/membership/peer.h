#pragma once

#include "base/endpoint.h"
#include "base/ids.h"

#include <cstdint>

namespace mustardtrail::membership
{

enum class peer_state {
    alive,
    suspect, ///< Missed probes; keeps what it owns until declared dead.
    leaving, ///< Planned stop: finishes its work, gets no new work, owns nothing.
    dead,
};

/// One entry instance as this instance sees it.
struct peer {
    instance_id id;
    data_centre_id dataCentre;
    endpoint requests; ///< Where forwarded requests and control calls go (HTTP).
    endpoint heartbeats; ///< Where probes go (UDP).
    peer_state state = peer_state::alive;
    std::uint64_t incarnation = 0; ///< Grows at each start of the instance.

    bool operator==(const peer &) const = default;
};

} // namespace mustardtrail::membership
