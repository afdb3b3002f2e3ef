#include "gateway/stream_wait_limit.h"

#include <algorithm>

namespace mustardtrail::gateway
{

// The three values match the time-outs of the platform's callers.
std::chrono::milliseconds streamWaitLimit(const route &from)
{
    constexpr std::chrono::milliseconds minWait{ 2'000 };
    constexpr int latencyTargetFactor = 4;
    constexpr int eventGapTargetFactor = 8;
    return std::max({ minWait, from.latencyTarget * latencyTargetFactor, from.eventGapTarget * eventGapTargetFactor });
}

} // namespace mustardtrail::gateway
