#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/units.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::node::testing
{

/// Final answer that a caller got; no failure means that the answer is complete.
struct final_answer {
    time_point at{};
    std::optional<error> failure;
};

/// One request as its caller and an observer of its instance see it.
struct traced_request {
    time_point deadline{}; ///< Moved to the end of a pause of its instance.
    bool repeatable = true;
    std::string key; ///< Idempotency key; empty: none.
    std::string expected; ///< Whole answer to its own prompt.
    std::string delivered;
    bool excused = false; ///< Its instance was killed, or its caller left.
    std::vector<final_answer> finals;
};

/// A request reached a backend server.
struct traced_run {
    time_point at{};
    request_id request;
    backend_server_id backend;
    data_centre_id dataCentre;
    bool started = true; ///< False: refused, or dropped before it ran.
    time_point began{}; ///< When its prompt was prefilled here for a group; else when it reached the backend server.
};

/// What happened in one schedule; written by the fleet, read by the checker.
struct session_trace {
    std::map<request_id, traced_request> requests;
    std::vector<traced_run> runs;
    std::map<data_centre_id, time_point> drainedAt; ///< Every confirmed view shows the drain from here on.
    std::vector<std::string> overloads; ///< Cold bounds that were passed.
    std::vector<std::string> staleSends; ///< Sent on a view whose lease was over.
    std::map<std::string, token_count> heldAtEnd; ///< Engine memory in use after the session.
    std::vector<std::string> log; ///< Actions and faults in order, while recording.
};

/// Rules of the session that the trace breaks; one line each.
std::vector<std::string> violations(const session_trace &trace);

} // namespace mustardtrail::node::testing
