#pragma once

#include "base/verdict.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace mustardtrail::gateway
{

/// How one send to a backend server ended, when it did not end with a whole answer.
struct attempt_failure {
    verdict outcome = verdict::may_have_run;
    bool isUnreachable = false; ///< No connection could be opened.
    bool hasAnswer = false; ///< The server answered with a failure of its own, which can be passed on.
    std::optional<std::uint64_t> lastEventId; ///< Last event that the caller has got of a stream.
    bool hasStarted = false; ///< The caller has got the head of the answer.
};

} // namespace mustardtrail::gateway
