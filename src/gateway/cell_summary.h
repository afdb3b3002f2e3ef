#pragma once

#include "gateway/cell_id.h"
#include "gateway/load_tracker.h"
#include "gateway/peer_address.h"

#include <optional>
#include <vector>

namespace mustardtrail::gateway
{

/// Load of one backend server as one cell tells it to another.
struct server_summary {
    server_key server = 0;
    server_load load;
};

/// What one cell tells another: its least loaded backend servers. The work that the receiving cell has there itself is not
/// included, as that cell knows it better.
struct cell_summary {
    cell_id cell;
    time_point measuredAt{};
    std::vector<server_summary> servers;
    std::optional<std::vector<peer_address>> instances; ///< Live instances of the cell; only in some summaries, as they seldom change.
};

} // namespace mustardtrail::gateway
