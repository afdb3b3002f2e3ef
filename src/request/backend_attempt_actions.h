#pragma once

#include "base/ids.h"
#include "request/request_events.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace mustardtrail::request
{

/// Opens a connection and sends the request.
struct open_stream {
    attempt_id attempt;
    backend_server_id backend;
    int connection = 0; ///< Number that the events of this connection carry.
};

/// Requests the rest of a stream from the engine on a new connection.
struct resume_stream {
    attempt_id attempt;
    backend_server_id backend;
    int connection = 0;
    std::uint64_t from = 0; ///< Sequence number of the first missing piece.
};

/// Closes the attempt's connection, so that no further byte is sent.
struct cancel_stream {
    attempt_id attempt;
    backend_server_id backend;
    bool atEngine = true; ///< Also sends a cancel to the engine, which is idempotent there.
};

/// The last four are forwarded to the origin unchanged.
using backend_action
    = std::variant<open_stream, resume_stream, cancel_stream, attempt_accepted, attempt_output, attempt_finished, attempt_failed>;

using backend_actions = std::vector<backend_action>;

} // namespace mustardtrail::request
