#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "placement/pool_key.h"

#include <chrono>
#include <vector>

namespace mustardtrail::placement
{

/// Prompt lengths for which a summary predicts the first token; other lengths are interpolated.
constexpr token_count summaryShortTokens = 2048;
constexpr token_count summaryLongTokens = 131072;
/// Prediction of a prompt that cannot run there.
constexpr std::chrono::milliseconds summaryUnreachable{ 3600000 };

/// What one owner can take for one model or service.
struct pool_summary {
    pool_key pool;
    token_count freeTokens = 0; ///< Largest free KV memory on one backend server.
    token_count queuedPrefillTokens = 0; ///< Waiting at the owner and at its backend servers.
    token_count prefillTokensPerSecond = 0; ///< All backend servers of the pool together.
    int freeRequests = 0; ///< Requests that would be dispatched at once.
    std::chrono::milliseconds shortFirstToken{ 0 }; ///< Predicted, for a customer with nothing queued.
    std::chrono::milliseconds longFirstToken{ 0 };

    bool operator==(const pool_summary &) const = default;
};

/// State of one owner, passed between entry instances once a second.
struct owner_summary {
    instance_id owner;
    time_point takenAt{}; ///< On the reader's clock.
    std::vector<pool_summary> pools;
};

} // namespace mustardtrail::placement
