#pragma once

#include "base/clock.h"

#include <cstdint>

namespace mustardtrail::gateway
{

/// What the placement of one request at model engines depends on.
struct placement_request {
    std::int64_t promptTokens = 0;
    std::int64_t answerTokens = 0; ///< Longest answer.
    std::chrono::milliseconds pauseTarget{ 0 };
    time_point arrivedAt{};
    time_point firstEventDueAt{}; ///< The first event is on time up to here.
    time_point callerTimeoutAt{}; ///< The caller leaves here if no event has come.
    bool isInterrupted = false; ///< Its caller has a part of the answer, which is lost unless another engine goes on.
    time_point deadline{}; ///< Nothing is worth sending after this.
};

} // namespace mustardtrail::gateway
