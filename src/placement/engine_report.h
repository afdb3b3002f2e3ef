#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardtrail::placement
{

/// One stream listed in an engine's report.
struct reported_stream {
    attempt_id attempt;
    token_count heldTokens = 0; ///< KV memory held.
    std::uint64_t fencingNumber = 0; ///< Of the owner that sent the request.
};

/// Load report of a backend server; it lags behind the server's actual state.
struct engine_report {
    backend_server_id backend;
    std::uint64_t incarnation = 0; ///< Changes at each start of the backend server.
    time_point takenAt{}; ///< Time of the reported state, on the receiver's clock.
    bool warm = true;
    int runningRequests = 0;
    token_count queuedPrefillTokens = 0;
    token_count memoryTokens = 0;
    token_count usedTokens = 0; ///< By streams, reservations and exports; excludes the prefix cache.
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    std::uint64_t highestFencingNumber = 0;
    std::vector<reported_stream> streams;
};

} // namespace mustardtrail::placement
