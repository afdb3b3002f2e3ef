#pragma once

#include "base/clock.h"
#include "gateway/server_work.h"

#include <optional>

namespace mustardtrail::gateway
{

/// What an instance tells the others about one start of a backend server that leaves.
struct leaving_server_news {
    server_start_key server = 0;
    std::optional<time_point> since; ///< First sign of it at any instance; unset in the reports of earlier releases.
};

} // namespace mustardtrail::gateway
