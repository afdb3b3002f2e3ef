#pragma once

#include "base/clock.h"
#include "gateway/server_work.h"

namespace mustardtrail::gateway
{

/// What an instance tells the others about one start of an engine that it observed to be slower than published.
struct slow_server_news {
    server_start_key server = 0;
    double slowness = 1.0; ///< Its times, as a multiple of the published ones.
    time_point heardAt{}; ///< Of the sender's latest observation.
};

} // namespace mustardtrail::gateway
