#pragma once

#include "gateway/load_tracker.h"

namespace mustardtrail::gateway
{

/// Backend server that may take the request, with its load.
struct placement_candidate {
    server_key key = 0;
    unsigned slots = 1;
    bool isSuspected = false; ///< Failed recently; not used as a helper.
    bool isAtColdLimit = false; ///< Cold, and at its current limit of requests.
    server_load load;
};

} // namespace mustardtrail::gateway
