#include "gateway/stream_wait_limit.h"

#include <algorithm>

namespace mustardtrail::gateway
{

// The three figures are what the platform's callers do.
std::chrono::milliseconds streamWaitLimit(const route &from)
{
    constexpr std::chrono::milliseconds shortest{ 2'000 };
    constexpr int latencyTargets = 4;
    constexpr int pauseTargets = 8;
    return std::max({ shortest, from.latencyTarget * latencyTargets, from.eventGapTarget * pauseTargets });
}

} // namespace mustardtrail::gateway
