#pragma once

#include "base/clock.h"
#include "group/group_key.h"
#include "placement/engine_report.h"

#include <chrono>
#include <vector>

namespace mustardtrail::group
{

/// One group that an engine says it holds memory for.
struct reported_group {
    engine_group_id group;
    token_count heldTokens = 0;
    std::chrono::milliseconds leaseLeft{ 0 }; ///< 0: the lease ended, yet memory is held.
};

/// What an engine says it holds: its load report or list of streams, and its list of groups.
struct engine_holdings {
    placement::engine_report report;
    std::vector<reported_group> groups;
};

} // namespace mustardtrail::group
