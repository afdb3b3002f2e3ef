#pragma once

#include "base/units.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace mustardtrail::request
{

/// What the connection to a backend server reports for one attempt.
/// Each connection has a number; events of an older connection are ignored.

struct connection_ready {
    int connection = 0;
};

/// The first byte of the request is about to be handed to the connection; reported before that, never after.
struct request_sent {
    int connection = 0;
};

/// The backend server took the request: its answer has begun, or it says that the request waits.
struct backend_accepted {
    int connection = 0;
};

/// A sign of life without a piece of the answer.
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

/// An answer other than success.
struct backend_refused {
    int connection = 0;
    int status = 0; ///< HTTP status.
    std::optional<bool> started; ///< What the backend server says about whether it had started.
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// The connection could not be made, closed or broke.
struct connection_lost {
    int connection = 0;
};

struct cancel_acknowledged {
};

/// The origin gave the attempt up, or its caller is gone.
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
