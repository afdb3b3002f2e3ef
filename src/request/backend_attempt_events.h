#pragma once

#include "base/units.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace mustardtrail::request
{

/// Events of the connection to a backend server for one attempt.
/// Connections are numbered; events of an earlier connection are ignored.

struct connection_ready {
    int connection = 0;
};

/// Reported before the first byte of the request is written to the connection, never after.
struct request_sent {
    int connection = 0;
};

/// The backend server accepted the request: its answer has begun, or it reported the request as queued.
struct backend_accepted {
    int connection = 0;
};

/// Keep-alive without a piece of the answer.
struct backend_alive {
    int connection = 0;
};

struct backend_chunk {
    int connection = 0;
    std::uint64_t sequence = 0;
    std::string text;
    token_count tokens = 0;
};

/// Explicit end of the answer.
struct backend_finished {
    int connection = 0;
    std::uint64_t chunks = 0;
    std::string finishReason;
};

/// HTTP response other than success.
struct backend_refused {
    int connection = 0;
    int status = 0; ///< HTTP status.
    std::optional<bool> started; ///< Whether the backend server had started the request, if it says so.
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// The connection could not be opened, was closed or broke.
struct connection_lost {
    int connection = 0;
};

struct cancel_acknowledged {
};

/// The origin abandoned the attempt, for instance because its caller disconnected.
struct attempt_abandoned {
};

using backend_event = std::variant<connection_ready,
    request_sent,
    backend_accepted,
    backend_alive,
    backend_chunk,
    backend_finished,
    backend_refused,
    connection_lost,
    cancel_acknowledged,
    attempt_abandoned>;

} // namespace mustardtrail::request
