#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "placement/work_item.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace mustardtrail::placement
{

/// Send the attempt to the backend server now.
struct dispatch_attempt {
    work_item work;
    backend_server_id backend;
    std::uint64_t fencingNumber = 0;
    int priority = 0; ///< For the engine; lower runs first.
    time_point notAfter{}; ///< End of the view's lease; checked again immediately before sending.
};

/// Tell the origin (the instance that placed the attempt) that the attempt did not run.
struct refuse_attempt {
    attempt_id attempt;
    error failure; ///< Verdict not_run; retryAfter is estimated from the queue.
};

/// Tell the backend server to end a stream and free its memory.
struct cancel_at_backend {
    attempt_id attempt;
    backend_server_id backend;
};

using owner_action = std::variant<dispatch_attempt, refuse_attempt, cancel_at_backend>;
using owner_action_list = std::vector<owner_action>;

} // namespace mustardtrail::placement
