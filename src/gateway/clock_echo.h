#pragma once

#include "gateway/peer_address.h"

#include <chrono>
#include <cstdint>

namespace mustardtrail::gateway
{

/// Timestamp of the last report received from another instance, read from that instance's clock. Echoed back to it, the
/// timestamp proves that an event happened later than a point on its own clock, without comparing the clocks of two machines.
struct clock_echo {
    peer_address address = 0;
    std::uint64_t incarnation = 0;
    std::chrono::microseconds clock{ 0 }; ///< Time since the epoch of that instance's clock.
};

} // namespace mustardtrail::gateway
