#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"

#include <cstdint>

namespace mustardtrail::placement
{

/// Properties of one attempt of a request that placement uses; the prompt itself is not passed to placement.
struct work_item {
    attempt_id attempt;
    request_id request;
    customer_id customer;
    class_id workClass;
    model_id model; ///< Empty for a plain service.
    service_id service; ///< Empty for a model.
    token_count promptTokens = 0;
    token_count maxNewTokens = 0;
    std::uint64_t prefixHash = 0; ///< Hash of the customer and the leading block of the prompt.
    time_point arrival{}; ///< On the clock of the receiving instance.
    time_point firstTokenDeadline{};
    time_point deadline{};
    bool repeatable = true;
};

} // namespace mustardtrail::placement
