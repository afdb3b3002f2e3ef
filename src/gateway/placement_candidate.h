#pragma once

#include "gateway/load_tracker.h"

namespace mustardtrail::gateway
{

/// Backend server that may take the request, with its load.
struct placement_candidate {
    server_key key = 0;
    unsigned slots = 1;
    bool isSuspected = false; ///< Failed recently; not used as a helper.
    bool isOfOtherCell = false; ///< Its load is known from a summary, some hundred ms old.
    bool isAtColdLimit = false; ///< Cold, and at its current limit of requests.
    bool isKeptForOther = false; ///< For a prompt ahead in the waiting order: takes neither a prompt nor a part.
    bool isAtRateLimit = false; ///< Named a limit of requests a second, which all instances together have reached.
    server_load load;
    double slowness = 1.0; ///< Its times as a multiple of the published ones; above 1 only if it was observed to be slow.
    std::chrono::milliseconds pictureAge{ 0 }; ///< Mean time since the last reports of the instances that have work.
    // The next three are set only where placement is coordinated and delays are published; else all engines are equally near.
    std::chrono::microseconds linkDelay{ 0 }; ///< From this instance to the server, one way.
    bool isInOwnDataCentre = true; ///< In that of this instance.
    std::uint64_t dataCentre = 0; ///< Hash of its name; the engines of one data centre share it.
    unsigned unseenRequests = 0; ///< Of another cell's server: requests that it may have got since its summary.
};

} // namespace mustardtrail::gateway
