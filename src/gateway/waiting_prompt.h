#pragma once

#include "base/clock.h"

#include <cstdint>

namespace mustardtrail::gateway
{

/// Identity of a service in messages between instances: hash of its name.
using service_key = std::uint64_t;

/// A long prompt that waits at an instance for capacity at the engines.
struct waiting_prompt {
    std::uint64_t request = 0; ///< Random number of the request; unique in the fleet.
    service_key service = 0;
    std::int64_t promptTokens = 0;
    std::int64_t memoryTokens = 0; ///< KV cache of the prompt and the longest answer.
    unsigned urgency = 0; ///< 0 is the most urgent.
    time_point arrivedAt{};
    time_point firstEventDueAt{};
    time_point callerLeavesAt{};
    std::chrono::milliseconds shortestPrefill{ 0 }; ///< On as many engines as may share it.
};

} // namespace mustardtrail::gateway
