#pragma once

#include "base/ids.h"
#include "gateway/link_delays.h"

#include <chrono>
#include <optional>

namespace mustardtrail::gateway
{

/// Speed and KV memory of an engine, as published for its service.
struct engine_profile {
    unsigned slots = 1; ///< Most requests in one batch.
    std::int64_t memoryTokens = 0; ///< Capacity of the KV cache.
    double prefillTokensPerMs = 1.0;
    double attentionMsPerMillionPairs = 0.0; ///< Attention cost of prefill per million pairs of a token and an earlier one.
    double tokenStepMs = 1.0; ///< One decode step of an engine without load.
    double tokenStepMsPerDecode = 0.0; ///< Added for each decoding request.
    double tokenStepMsPerThousandContextTokens = 0.0; ///< Added for each 1,000 context tokens of the decoding requests.
    unsigned tokenStepsPerBatchStep = 1; ///< Tokens that a decoding request gains in one batch step.
};

/// Published properties of the backend servers of one service.
struct service_profile {
    service_id name;
    double coldRequestsPerSecond = 0.0; ///< Request rate limit of a server that is still warming up; 0: none.
    std::optional<engine_profile> engine; ///< Not set for a service that runs no language model.
    link_delays links{}; ///< Between the data centres of its engines.
};

} // namespace mustardtrail::gateway
