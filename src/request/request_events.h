#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/units.h"
#include "request/key_claim_reply.h"

#include <cstdint>
#include <string>
#include <variant>

namespace mustardtrail::request
{

/// A caller's request as parsed by the HTTP layer, which keeps the body.
struct caller_request {
    request_id id;
    customer_id customer;
    class_id workClass;
    model_id model; ///< Empty for a plain service.
    service_id service; ///< Empty for a model.
    token_count promptTokens = 0;
    token_count maxNewTokens = 0;
    std::uint64_t prefixHash = 0;
    std::string idempotencyKey; ///< Empty when the caller gave none.
    bool callerRetry = false; ///< The caller marked this request as a retry of its own.
    std::uint64_t fingerprint = 0; ///< Hash of path and body; reusing a key with a different one is an error.
};

/// The caller closed its connection or read too slowly.
struct caller_gone {
    request_id id;
};

/// The backend server, or its owner on its behalf, accepted the attempt.
struct attempt_accepted {
    attempt_id attempt;
    backend_server_id backend;
};

/// Next piece of an answer.
struct attempt_output {
    attempt_id attempt;
    std::uint64_t sequence = 0; ///< From 0, without gaps within one attempt.
    std::string text;
    token_count tokens = 0;
};

/// Explicit end of an answer.
struct attempt_finished {
    attempt_id attempt;
    std::uint64_t chunks = 0; ///< Number of pieces sent; a different count received means that the answer is incomplete.
    std::string finishReason; ///< "stop" or "length".
};

struct attempt_failed {
    attempt_id attempt;
    error failure;
    backend_server_id backend; ///< Empty when none was chosen.
};

/// The claim did not reach the home of the key, or no reply arrived.
struct key_claim_failed {
    request_id request;
    instance_id home;
    error failure;
};

using request_event = std::variant<caller_request,
    caller_gone,
    attempt_accepted,
    attempt_output,
    attempt_finished,
    attempt_failed,
    key_claim_reply,
    key_claim_failed>;

} // namespace mustardtrail::request
