#pragma once

#include "base/ids.h"

#include <chrono>
#include <optional>

namespace mustardtrail::gateway
{

/// Speed and memory of a model engine, as published for its service.
struct engine_profile {
    unsigned slots = 1; ///< Requests in one batch.
    std::int64_t memoryTokens = 0;
    double prefillTokensPerMs = 1.0;
    double attentionMsPerMillionPairs = 0.0; ///< Time for a million pairs of a token and an earlier one, in ms.
    double tokenStepMs = 1.0; ///< One token step without load, in ms.
    double tokenStepMsPerDecode = 0.0; ///< More for each request that writes.
    double tokenStepMsPerThousandContextTokens = 0.0; ///< More for each 1,000 tokens that the writers look back on.
    unsigned tokenStepsPerBatchStep = 1; ///< Token steps of a pass in which a request writes.
};

/// Backend servers of one kind.
struct service_profile {
    service_id name;
    double coldRequestsPerSecond = 0.0; ///< What a cold backend server bears; 0: no bound.
    std::optional<engine_profile> engine; ///< None for a plain service.
};

} // namespace mustardtrail::gateway
