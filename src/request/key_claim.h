#pragma once

#include "base/ids.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace mustardtrail::request
{

/// Claims an idempotency key at one of its homes for a request that may not be repeated. Idempotent.
struct key_claim {
    request_id request;
    instance_id origin;
    customer_id customer;
    std::string key;
    std::uint64_t fingerprint = 0;
    std::chrono::milliseconds remaining{ 0 }; ///< Time until the deadline of the request.

    bool operator==(const key_claim &) const = default;
};

} // namespace mustardtrail::request
