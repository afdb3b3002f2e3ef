#pragma once

#include "base/clock.h"
#include "gateway/server_work.h"

#include <vector>

namespace mustardtrail::gateway
{

// Bounds of a limit on the wire. A smaller one would take the server out of use for good, the requests of a larger one cannot be counted.
inline constexpr double minRequestsPerSecond = 0.02;
inline constexpr double maxRequestsPerSecond = 1e6;

/// What an instance tells the others about one start of a server that named a limit: what it heard there itself, and its own sends.
struct rate_limit_news {
    server_start_key server = 0;
    double requestsPerSecond = 0.0; ///< 0: the server has named none in its latest answer.
    time_point heardAt{};
    std::vector<time_point> sentAt; ///< Of the requests that the instance sent there lately.
};

} // namespace mustardtrail::gateway
