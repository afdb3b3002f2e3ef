#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardtrail::placement
{

/// One stream that an engine says it holds.
struct reported_stream {
    attempt_id attempt;
    token_count heldTokens = 0; ///< KV memory held.
    std::uint64_t fencingNumber = 0; ///< Of the owner that sent it.
};

/// Load report of a backend server; it lags behind what the server does.
struct engine_report {
    backend_server_id backend;
    std::uint64_t incarnation = 0; ///< Changes at each start of the backend server.
    time_point takenAt{}; ///< When the reported state held, on the reader's clock.
    bool warm = true;
    int runningRequests = 0;
    token_count queuedPrefillTokens = 0;
    token_count memoryTokens = 0;
    token_count usedTokens = 0; ///< Streams, reservations and exports; not the prefix cache.
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    std::uint64_t highestFencingNumber = 0;
    std::vector<reported_stream> streams;
};

} // namespace mustardtrail::placement
