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

/// Sends the attempt to the instance that owns the chosen backend server, which may be this instance.
struct start_attempt {
    placement::work_item work;
    instance_id target;
    std::vector<backend_server_id> excluded; ///< Backend servers that must not receive this attempt.
    std::string deliveredText; ///< Text already delivered to the caller; the answer continues after it.
    token_count deliveredTokens = 0;
};

/// Cancels the attempt at the instance that runs it.
struct cancel_attempt {
    attempt_id attempt;
};

/// Delivers the next piece of the answer to the caller.
struct relay_output {
    request_id request;
    std::string text;
    token_count tokens = 0;
};

/// The answer is complete.
struct complete_request {
    request_id request;
    std::string finishReason;
};

/// Final answer to the caller: the request failed or was refused.
struct fail_request {
    request_id request;
    error failure;
};

/// Sends a claim to a home of the request's key, which may be this instance.
struct send_key_claim {
    instance_id home;
    key_claim claim;
};

/// Reports the end of the request to a home of its key. Sent once; if it is lost, the key stays held until it expires.
struct send_key_outcome {
    instance_id home;
    key_outcome outcome;
};

using request_action
    = std::variant<start_attempt, cancel_attempt, relay_output, complete_request, fail_request, send_key_claim, send_key_outcome>;

} // namespace mustardtrail::request
