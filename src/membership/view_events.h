#pragma once

#include "base/error.h"
#include "base/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mustardtrail::membership
{

/// Time has reached nextWake().
struct clock_tick {
};

/// Reading of the wall clock; one at the start and one every few seconds.
struct wall_clock_reading {
    std::chrono::system_clock::time_point at;
};

struct datagram_received {
    endpoint from;
    std::string bytes;
};

/// Answer to read_config: the service's reply as it came, or why there is none.
struct config_read_result {
    result<std::string> body;
};

/// Answer to read_live_list.
struct live_list_result {
    result<std::string> body;
};

/// Answer to fetch_delta.
struct delta_received {
    instance_id peer;
    result<std::string> body;
};

/// A peer asks for what changed after its revision.
struct delta_requested {
    std::uint64_t request = 0; ///< Chosen by the host; comes back in answer_delta.
    std::int64_t afterRevision = 0;
};

/// Load summaries that go out with the next datagrams, until they are replaced.
struct load_summaries_set {
    std::vector<std::string> summaries;
};

/// A backend server refused, or reported, a fencing number above the one of this node.
struct fencing_seen {
    backend_server_id backend;
    std::uint64_t highest = 0;
};

/// Planned stop: hand over and leave.
struct begin_stop {
};

using view_event = std::variant<clock_tick,
    wall_clock_reading,
    datagram_received,
    config_read_result,
    live_list_result,
    delta_received,
    delta_requested,
    load_summaries_set,
    fencing_seen,
    begin_stop>;

} // namespace mustardtrail::membership
