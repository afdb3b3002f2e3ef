#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "placement/pool_key.h"

#include <chrono>
#include <vector>

namespace mustardtrail::placement
{

/// Prompt lengths for which a summary predicts the time to first token; other lengths are interpolated.
constexpr token_count summaryShortTokens = 2048;
constexpr token_count summaryLongTokens = 131072;
/// Predicted time to first token of a prompt that cannot run at that owner.
constexpr std::chrono::milliseconds summaryUnreachable{ 3600000 };

/// Load and free capacity of one owner for one model or service.
struct pool_summary {
    pool_key pool;
    token_count freeTokens = 0; ///< Largest free KV memory on one backend server.
    token_count queuedPrefillTokens = 0; ///< In the queues of the owner and of its backend servers.
    token_count prefillTokensPerSecond = 0; ///< Sum over all backend servers of the pool.
    int freeRequests = 0; ///< Free request slots of all backend servers.
    std::chrono::milliseconds shortFirstToken{ 0 }; ///< Predicted time to first token for a customer with nothing queued.
    std::chrono::milliseconds longFirstToken{ 0 };

    bool operator==(const pool_summary &) const = default;
};

/// Load summary of one owner, exchanged between entry instances once a second.
struct owner_summary {
    instance_id owner;
    time_point takenAt{}; ///< On the receiver's clock.
    std::vector<pool_summary> pools;
};

} // namespace mustardtrail::placement
