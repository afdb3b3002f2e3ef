#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "placement/work_item.h"
#include "request/key_claim.h"
#include "request/key_outcome.h"

#include <string>
#include <variant>
#include <vector>

namespace mustardtrail::request
{

/// Hand the attempt to the instance that owns the chosen backend server; it may be this instance.
struct start_attempt {
    placement::work_item work;
    instance_id target;
    std::vector<backend_server_id> excluded; ///< Backend servers that failed this request before.
    std::string deliveredText; ///< What the caller has already; the answer goes on after it.
    token_count deliveredTokens = 0;
};

/// Tell whoever runs the attempt to stop.
struct cancel_attempt {
    attempt_id attempt;
};

/// Give the caller the next piece of its answer.
struct relay_output {
    request_id request;
    std::string text;
    token_count tokens = 0;
};

/// The answer is whole.
struct complete_request {
    request_id request;
    std::string finishReason;
};

/// Final answer to the caller: the request failed or was refused.
struct fail_request {
    request_id request;
    error failure;
};

/// Ask a home of the request's key; it may be this instance.
struct send_key_claim {
    instance_id home;
    key_claim claim;
};

/// Tell a home of the request's key how the request ended. Sent once; a loss is safe.
struct send_key_outcome {
    instance_id home;
    key_outcome outcome;
};

using request_action
    = std::variant<start_attempt, cancel_attempt, relay_output, complete_request, fail_request, send_key_claim, send_key_outcome>;

} // namespace mustardtrail::request
