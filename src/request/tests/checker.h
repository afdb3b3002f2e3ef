#pragma once

#include "base/clock.h"
#include "base/verdict.h"

#include <string>
#include <vector>

namespace mustardtrail::request::testing
{

enum class trace_kind {
    sent, ///< A caller sent the request.
    output, ///< The caller got a piece.
    completed,
    failed,
    effect, ///< The request ran at a backend server.
    origin_died, ///< The instance that had the request is gone.
};

/// What a caller or a backend server saw; the checker knows nothing of the code under test.
struct trace_entry {
    time_point at{};
    trace_kind kind = trace_kind::sent;
    std::string request;
    std::string key; ///< Sent: idempotency key, may be empty.
    bool repeatable = true; ///< Sent.
    std::string text; ///< Sent: the whole right answer. Output: the piece.
    verdict outcome = verdict::not_run; ///< Failed.
};

/// Every rule that the trace breaks, one line each.
std::vector<std::string> violations(const std::vector<trace_entry> &trace);

} // namespace mustardtrail::request::testing
