#pragma once

#include "gateway/peer_address.h"

#include <chrono>
#include <cstdint>

namespace mustardtrail::gateway
{

/// What another instance's clock showed when it sent the last report that was heard of it. Told back to that instance,
/// it dates an event as later than a moment of its own clock, without a comparison of two clocks.
struct clock_echo {
    peer_address address = 0;
    std::uint64_t incarnation = 0;
    std::chrono::microseconds clock{ 0 }; ///< Since the start of that instance's clock.
};

} // namespace mustardtrail::gateway
