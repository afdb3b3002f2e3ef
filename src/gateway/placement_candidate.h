#pragma once

#include "gateway/load_tracker.h"

namespace mustardtrail::gateway
{

/// Backend server that may take the request, with its load.
struct placement_candidate {
    server_key key = 0;
    unsigned slots = 1;
    bool isSuspected = false; ///< Failed lately; takes no part of another server's prompt.
    bool isAtColdLimit = false; ///< Cold and given all that it bears for now.
    server_load load;
};

} // namespace mustardtrail::gateway
