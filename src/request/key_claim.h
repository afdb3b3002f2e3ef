#pragma once

#include "base/ids.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace mustardtrail::request
{

/// Asks a home of an idempotency key whether a request that may not be repeated may run.
/// Sending the same claim again is harmless.
struct key_claim {
    request_id request;
    instance_id origin;
    customer_id customer;
    std::string key;
    std::uint64_t fingerprint = 0;
    std::chrono::milliseconds remaining{ 0 }; ///< Until the deadline of the request.

    bool operator==(const key_claim &) const = default;
};

} // namespace mustardtrail::request
