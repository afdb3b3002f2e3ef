#pragma once

#include "base/verdict.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace mustardtrail::gateway
{

/// Outcome of one send to a backend server that did not deliver a complete answer.
struct attempt_failure {
    verdict outcome = verdict::may_have_run;
    bool isUnreachable = false; ///< No connection could be opened.
    bool isUnreserved = false; ///< Nothing was sent, as an engine granted no memory.
    bool isCutOff = false; ///< The connection ended before the answer was complete.
    bool isByRelay = false; ///< The instance that relays ended or handed the send back, which is no sign about the server.
    bool hasAnswer = false; ///< The server sent an error response, which can be relayed to the caller.
    std::optional<std::uint64_t> lastEventId; ///< Id of the last stream event delivered to the caller.
    bool hasStarted = false; ///< The head of the answer has been sent to the caller.
    std::string detail; ///< Key=value facts for the log.
};

} // namespace mustardtrail::gateway
