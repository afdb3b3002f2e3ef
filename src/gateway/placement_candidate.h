#pragma once

#include "gateway/load_book.h"

namespace mustardtrail::gateway
{

/// Backend server that may take the request, with its load.
struct placement_candidate {
    server_key key = 0;
    unsigned slots = 1;
    bool isSuspect = false; ///< Failed lately; takes no part of another server's prompt.
    bool isColdFull = false; ///< Cold and given all that it bears for now.
    server_load load;
};

} // namespace mustardtrail::gateway
