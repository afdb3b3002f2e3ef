#pragma once

#include "base/clock.h"
#include "base/verdict.h"

#include <string>
#include <vector>

namespace mustardtrail::request::testing
{

enum class trace_kind {
    sent, ///< A caller sent a request.
    output, ///< The caller received a piece of the answer.
    completed,
    failed,
    effect, ///< The request ran at a backend server.
    origin_died, ///< The entry instance of the request died.
};

/// One observation of a caller or a backend server; the checker does not depend on the code under test.
struct trace_entry {
    time_point at{};
    trace_kind kind = trace_kind::sent;
    std::string request;
    std::string key; ///< For `sent`: idempotency key, may be empty.
    bool repeatable = true; ///< For `sent`.
    std::string text; ///< For `sent`: the expected answer. For `output`: the piece.
    verdict outcome = verdict::not_run; ///< For `failed`.
};

/// Returns the rules that the trace breaks, one line for each breach.
std::vector<std::string> violations(const std::vector<trace_entry> &trace);

} // namespace mustardtrail::request::testing
