#pragma once

#include "base/clock.h"

#include <cstdint>

namespace mustardtrail::gateway
{

/// Input for the placement of one request on model engines.
struct placement_request {
    std::int64_t promptTokens = 0;
    std::int64_t answerTokens = 0; ///< Maximum length of the answer.
    std::chrono::milliseconds eventGapTarget{ 0 };
    std::chrono::milliseconds shortestEventGapTarget{ 0 }; ///< Of all streams that may run on the same engines; 0: unknown.
    time_point arrivedAt{};
    time_point firstEventDueAt{}; ///< Latest time at which the first event is on time.
    time_point callerTimeoutAt{}; ///< The caller disconnects at this time if no event has arrived.
    bool isInterrupted = false; ///< The caller has part of the answer, which is lost unless another engine continues it.
    std::uint64_t draw = 0; ///< Random number that decides among engines.
    bool isCoordinated = false; ///< The policy of the service.
    time_point deadline{}; ///< An answer after this time is useless.
};

} // namespace mustardtrail::gateway
