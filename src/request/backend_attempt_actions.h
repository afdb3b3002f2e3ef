#pragma once

#include "base/ids.h"
#include "request/request_events.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace mustardtrail::request
{

/// Connect and send the request.
struct open_stream {
    attempt_id attempt;
    backend_server_id backend;
    int connection = 0; ///< To be named in the events of this connection.
};

/// Ask the engine for the rest of a stream on a new connection.
struct resume_stream {
    attempt_id attempt;
    backend_server_id backend;
    int connection = 0;
    std::uint64_t from = 0; ///< First piece that is missing.
};

/// Close the attempt's connection, so that no further byte leaves.
struct cancel_stream {
    attempt_id attempt;
    backend_server_id backend;
    bool atEngine = true; ///< Also send the engine's cancel; idempotent there.
};

/// The last four go to the origin as they are.
using backend_action
    = std::variant<open_stream, resume_stream, cancel_stream, attempt_accepted, attempt_output, attempt_finished, attempt_failed>;

using backend_actions = std::vector<backend_action>;

} // namespace mustardtrail::request
