#pragma once

#include "base/ids.h"
#include "base/verdict.h"

#include <string>

namespace mustardtrail::request
{

/// Reports to a home of an idempotency key how the request that claimed it ended. "not_run" releases the key.
struct key_outcome {
    request_id request;
    customer_id customer;
    std::string key;
    verdict outcome = verdict::may_have_run;

    bool operator==(const key_outcome &) const = default;
};

} // namespace mustardtrail::request
